#include "replica_pool.h"

#include <sstream>

namespace lycheestand::faults {

namespace {

std::string
MakeHead(unsigned aStatus, const ReplicaRequest& aRequest)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " x\r\nX-Request-Id: " + aRequest.Header("x-request-id") +
         "\r\nX-Response-Seal: s\r\n";
}

} // namespace

std::string
MakeAnswer(unsigned aStatus,
           const ReplicaRequest& aRequest,
           const std::string& aBody,
           const std::string& aMoreHeaders)
{
  return MakeHead(aStatus, aRequest) + aMoreHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
MakeHeadWithoutLength(const ReplicaRequest& aRequest)
{
  return MakeHead(200, aRequest) + "\r\n";
}

std::string
MakeStreamHead(const ReplicaRequest& aRequest)
{
  return MakeHead(200, aRequest) + "Content-Type: text/event-stream\r\n\r\n";
}

std::string
MakeChunkedHead(const ReplicaRequest& aRequest)
{
  return MakeHead(200, aRequest) + "Content-Type: text/event-stream\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n";
}

std::string
MakeChunk(const std::string& aText)
{
  std::ostringstream out;
  out << std::hex << aText.size() << "\r\n" << aText << "\r\n";
  return out.str();
}

std::string
MakeEvent(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: e" + std::to_string(aId) +
         "\n\n";
}

ReplicaAnswer
MakeStream(const ReplicaRequest& aRequest)
{
  return { { MakeChunkedHead(aRequest) + MakeChunk(MakeEvent(1)) +
             MakeChunk(MakeEvent(2)) + MakeChunk(MakeEvent(3)) +
             MakeChunk("") } };
}

std::map<std::string, ReplicaAnswer>
MakeEndlessAnswers(const ReplicaRequest& aRequest, Duration aPause)
{
  const std::string head = MakeHead(200, aRequest);
  const std::string type = "Content-Type: text/event-stream\r\n";
  const std::string chunked =
    head + type + "Transfer-Encoding: chunked\r\n\r\n";
  std::string bytes(aPause > Duration(0) ? 16 : 64 * 1024, 'x');
  std::map<std::string, ReplicaAnswer> answers;
  auto add = [&](const char* aName, std::string aBegin, std::string aEndless) {
    ReplicaAnswer answer;
    answer.pieces = { std::move(aBegin) };
    answer.endless = std::move(aEndless);
    answer.pause = aPause;
    answers.emplace(aName, std::move(answer));
  };
  add("status line", "HTTP/1.1 200 ", bytes);
  add("header field", head + "A: ", bytes);
  add("interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n");
  add("body", head + type + "\r\n", bytes);
  add("chunk extension", chunked + "1;", bytes);
  add("trailer", chunked + "0\r\nA: ", bytes);
  add("event", head + type + "\r\nid: 1\ndata: ", bytes);
  add("error body", MakeHead(500, aRequest) + "\r\n", bytes);
  return answers;
}

} // namespace lycheestand::faults
