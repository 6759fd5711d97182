#include "server_exchange.h"

namespace lycheestand::net {

void
ServerExchange::Respond(HttpResponse aResponse)
{
  if (this->answered || !this->connection) {
    return;
  }
  this->answered = true;
  this->connection->WriteWhole(std::move(aResponse));
}

void
ServerExchange::StartStream(unsigned aStatus, Headers aHeaders)
{
  if (this->answered || !this->connection) {
    return;
  }
  this->answered = true;
  this->connection->WriteHead(aStatus, aHeaders);
}

void
ServerExchange::WriteStream(std::string aChunk, std::function<void()> aWritten)
{
  if (this->connection && !aChunk.empty()) {
    this->connection->WriteChunk(std::move(aChunk), std::move(aWritten));
  }
}

void
ServerExchange::HoldBytes(std::size_t aBytes, std::function<void(bool)> aDone)
{
  if (this->connection) {
    this->connection->HoldBytes(aBytes, std::move(aDone));
  }
}

void
ServerExchange::EndStream()
{
  if (this->connection) {
    this->connection->WriteLastChunk();
  }
}

void
ServerExchange::Abort()
{
  this->answered = true;
  if (this->connection) {
    this->connection->CloseAfterWrites();
  }
}

void
ServerExchange::HandleNoReply()
{
  if (auto run = this->onNoReply) {
    run();
  }
  this->Respond({ 500,
                  { { "Content-Type", "application/json" } },
                  R"({"error":{"code":"internal_error","message":")"
                  R"(a part of this instance does not reply",)"
                  R"("ran":"unknown"}})" });
}

bool
ServerExchange::Detach(Disconnect aHow)
{
  auto run = std::move(this->onDisconnect);
  this->Complete();
  if (run) {
    run(aHow);
  }
  this->connection = nullptr;
  return run != nullptr;
}

void
ServerExchange::Complete()
{
  this->onDisconnect = nullptr;
  this->onNoReply = nullptr;
}

} // namespace lycheestand::net
