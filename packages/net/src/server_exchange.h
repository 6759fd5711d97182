#ifndef LYCHEESTAND_NET_SRC_SERVER_EXCHANGE_H
#define LYCHEESTAND_NET_SRC_SERVER_EXCHANGE_H

// The exchange of a server's connection. The code does no I/O.

#include <lycheestand/net.h>

namespace lycheestand::net {

// What an exchange needs of its connection.
class ResponseWriter
{
public:
  virtual ~ResponseWriter() = default;

  virtual IoTask& Task() = 0;
  virtual const std::string& Peer() const = 0;
  virtual void WriteWhole(HttpResponse aResponse) = 0;
  virtual void WriteHead(unsigned aStatus, const Headers& aHeaders) = 0;
  virtual void WriteChunk(std::string aChunk,
                          std::function<void()> aWritten) = 0;
  virtual void WriteLastChunk() = 0;
  // Asks to hold the request and this many bytes of its response.
  virtual void HoldBytes(std::size_t aResponseBytes,
                         std::function<void(bool)> aDone) = 0;
  // Closes the connection once what was sent so far is written.
  virtual void CloseAfterWrites() = 0;
};

// The request in progress and its response.
class ServerExchange : public Exchange
{
public:
  ServerExchange(ResponseWriter& aConnection, HttpRequest aRequest)
    : connection(&aConnection)
    , request(std::move(aRequest))
  {
  }

  const HttpRequest& Request() const override { return this->request; }
  std::string Peer() const override { return this->connection->Peer(); }
  IoTask& Task() override { return this->connection->Task(); }
  bool IsAnswered() const override { return this->answered; }

  void Respond(HttpResponse aResponse) override;
  void StartStream(unsigned aStatus, Headers aHeaders) override;
  void WriteStream(std::string aChunk, std::function<void()> aWritten) override;
  void HoldBytes(std::size_t aBytes, std::function<void(bool)> aDone) override;
  void EndStream() override;
  void Abort() override;

  void OnDisconnect(std::function<void(Disconnect)> aRun) override
  {
    this->onDisconnect = std::move(aRun);
  }

  void OnNoReply(std::function<void()> aRun) override
  {
    this->onNoReply = std::move(aRun);
  }

  // Called when another task has not replied and there is no response.
  void HandleNoReply();

  // Called when the connection closes: runs the disconnect callback and drops
  // the pointer to the connection. Returns whether there was a callback.
  bool Detach(Disconnect aHow);

  // Called when the response is fully written.
  void Complete();

private:
  ResponseWriter* connection;
  HttpRequest request;
  std::function<void(Disconnect)> onDisconnect;
  std::function<void()> onNoReply;
  bool answered = false;
};

} // namespace lycheestand::net

#endif
