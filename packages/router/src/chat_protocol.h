#ifndef LYCHEESTAND_ROUTER_SRC_CHAT_PROTOCOL_H
#define LYCHEESTAND_ROUTER_SRC_CHAT_PROTOCOL_H

// Encoding and decoding of the chat interface: JSON bodies and server-sent
// events. No other file depends on their format.

#include "filter_chain.h"

#include <string>
#include <vector>

namespace lycheestand::router {

// Parses a request body, or returns what is wrong with it.
Result<ChatCall, std::string>
ParseChatCall(const std::string& aBody);

// Returns the request body for an engine: always streamed, with usage in each
// event, an output limit and the priority (0 is interactive, 1 is batch). If
// aResumeText is not empty, the engine continues the answer after that text.
std::string
FormatEngineRequest(const ChatCall& aCall,
                    Tokens aMaxOutput,
                    const std::string& aResumeText);

// One decoded event of an engine's stream.
struct ChatEvent
{
  // The event marks the end of the stream.
  bool isDone = false;
  // Text added to the answer.
  std::string delta;
  std::string finishReason;
  std::optional<Usage> usage;
};

// Splits an engine's stream into events, regardless of how it is divided into
// chunks.
class ChatEventReader
{
public:
  // Adds a chunk and returns the data of the events that it completes.
  std::vector<std::string> Feed(const std::string& aChunk);

  // Returns the size of the event that is not complete yet.
  std::size_t PendingBytes() const { return this->pending.size(); }

private:
  std::string pending;
};

// Parses the data of an event. Returns nothing if it is malformed.
std::optional<ChatEvent>
ParseChatEvent(const std::string& aData);

// Fields that an answer and all its events ("chat.completion.chunk") have in
// common.
struct AnswerHead
{
  std::string id;
  std::string model;
  // Unix time in seconds.
  std::int64_t created = 0;
};

// Returns one event of the caller's stream, with added text or the finish
// reason.
std::string
FormatChatChunk(const AnswerHead& aHead,
                const std::string& aDelta,
                const std::string& aFinishReason);

// Returns the last events of the caller's stream: usage and [DONE].
std::string
FormatStreamEnd(const AnswerHead& aHead, const Usage& aUsage);

// Returns an event that reports that the answer is incomplete.
std::string
FormatStreamError(const char* aCode, const std::string& aMessage);

// Returns the body of an answer that is not streamed.
std::string
FormatAnswer(const AnswerHead& aHead,
             const std::string& aText,
             const std::string& aFinishReason,
             const Usage& aUsage);

// Returns the JSON body of an error answer.
std::string
FormatError(const char* aCode,
            const std::string& aMessage,
            ExecutionState aRan,
            const RequestId& aRequest);

} // namespace lycheestand::router

#endif
