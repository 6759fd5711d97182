#ifndef LYCHEESTAND_ROUTER_SRC_CHAT_PROTOCOL_H
#define LYCHEESTAND_ROUTER_SRC_CHAT_PROTOCOL_H

// Encoding of the chat interface: JSON bodies and server-sent events. The only
// place that knows their form.

#include "filter_chain.h"

#include <string>
#include <vector>

namespace lycheestand::router {

// Returns the call in a request body, or what is wrong with it.
Result<ChatCall, std::string>
ParseChatCall(const std::string& aBody);

// Returns the body for an engine: always streamed, with usage in each event,
// an output limit and the priority (0 is interactive, 1 is batch).
std::string
FormatEngineRequest(const ChatCall& aCall,
                    Tokens aMaxOutput,
                    const std::string& aPrefix);

// What one event of an engine's stream says.
struct StreamEvent
{
  bool isDone = false;
  // Text added to the answer.
  std::string delta;
  std::string finishReason;
  std::optional<Usage> usage;
};

// Splits a stream into its events, whatever the pieces it arrives in.
class EventReader
{
public:
  // Takes a piece and returns the data of the events completed by it.
  std::vector<std::string> Feed(const std::string& aPiece);

private:
  std::string pending;
};

// Returns what an event says, or nothing if it is malformed.
std::optional<StreamEvent>
ParseStreamEvent(const std::string& aData);

// Identity of an answer in the chat interface.
struct AnswerHead
{
  std::string id;
  std::string model;
  std::int64_t created = 0;
};

// Returns one event of the caller's stream.
std::string
FormatChunk(const AnswerHead& aHead,
            const std::string& aDelta,
            const std::string& aFinishReason);

// Returns the last events of the caller's stream: usage and [DONE].
std::string
FormatStreamEnd(const AnswerHead& aHead, const Usage& aUsage);

// Returns an event that says that the answer is not whole.
std::string
FormatStreamError(const char* aCode, const std::string& aMessage);

// Returns a whole answer.
std::string
FormatAnswer(const AnswerHead& aHead,
             const std::string& aText,
             const std::string& aFinishReason,
             const Usage& aUsage);

// Returns the body of a refusal.
std::string
FormatError(const char* aCode,
            const std::string& aMessage,
            ExecutionState aRan,
            const RequestId& aRequest);

} // namespace lycheestand::router

#endif
