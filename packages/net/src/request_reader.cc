#include "request_reader.h"

#include <algorithm>

namespace lycheestand::net {

namespace http = boost::beast::http;

namespace {

// Bytes that are read at once, while a request is small or large.
constexpr std::size_t kSmallReadBytes = 4 * 1024;
constexpr std::size_t kLargeReadBytes = 32 * 1024;

// A request is copied when it is forwarded.
constexpr std::size_t kRequestCopies = 2;

// Memory of a header field in all copies, besides its bytes. A field of 4 bytes
// takes two strings of 32 bytes in each.
constexpr std::size_t kFieldMemory = 128;

} // namespace

boost::asio::mutable_buffer
RequestReader::Prepare()
{
  bool isLarge = this->HeldBytes() > kLargeReadBytes;
  return this->buffer.prepare(isLarge ? kLargeReadBytes : kSmallReadBytes);
}

void
RequestReader::Commit(std::size_t aBytes)
{
  this->buffer.commit(aBytes);
  this->receivedBytes += aBytes;
  if (!this->hasHeader) {
    this->EstimateHeader(aBytes);
  }
}

// Counts the last bytes of the buffer.
void
RequestReader::EstimateHeader(std::size_t aBytes)
{
  const auto* end =
    static_cast<const char*>(this->buffer.data().data()) + this->buffer.size();
  auto lines = std::count(end - aBytes, end, '\n');
  this->headerMemory +=
    aBytes * kRequestCopies + static_cast<std::size_t>(lines) * kFieldMemory;
}

std::size_t
RequestReader::HeldBytes() const
{
  std::size_t body = this->parser ? this->parser->get().body().size() : 0;
  return this->buffer.capacity() + this->headerMemory + body * kRequestCopies;
}

void
RequestReader::StartParser()
{
  this->parser.emplace();
  this->parser->header_limit(
    static_cast<std::uint32_t>(this->limits.maxHeaderBytes));
  this->parser->body_limit(this->limits.maxBodyBytes);
  this->countExtensions = [this](std::uint64_t,
                                 boost::beast::string_view aExtensions,
                                 ErrorCode& aError) {
    this->extensionBytes += aExtensions.size();
    if (this->extensionBytes > this->limits.maxHeaderBytes) {
      aError = http::error::header_limit;
    }
  };
  this->parser->on_chunk_header(this->countExtensions);
}

RequestReader::State
RequestReader::Read()
{
  if (!this->parser && this->buffer.size() > 0) {
    this->StartParser();
  }
  // The parser stops after the headers, so that they are taken before a trailer
  // adds to them.
  while (this->buffer.size() > 0 && !this->parser->is_done() && !this->error) {
    this->buffer.consume(this->parser->put(this->buffer.data(), this->error));
    if (!this->hasHeader && this->parser->is_header_done()) {
      this->TakeHeader();
    }
  }
  if (this->error == http::error::need_more) {
    this->error = {};
    // A trailer or the header of a chunk, which the parser takes when it is
    // complete.
    if (this->hasHeader && this->buffer.size() > this->limits.maxHeaderBytes) {
      this->error = http::error::header_limit;
    }
  }
  return this->FindState();
}

RequestReader::State
RequestReader::FindState() const
{
  if (this->error == http::error::header_limit) {
    return State::HeaderTooLarge;
  }
  if (this->error == http::error::body_limit) {
    return State::BodyTooLarge;
  }
  if (this->error) {
    return State::Malformed;
  }
  return this->parser && this->parser->is_done() ? State::Complete
                                                 : State::Incomplete;
}

// The parser's own fields are dropped: they would be a further copy, and the
// fields of a trailer are not passed on.
void
RequestReader::TakeHeader()
{
  this->hasHeader = true;
  auto& message = this->parser->get();
  this->keepsAlive = message.keep_alive();
  this->request.method = std::string(message.method_string());
  this->request.target = std::string(message.target());
  std::size_t bytes = this->request.target.size();
  this->request.headers.reserve(
    static_cast<std::size_t>(std::distance(message.begin(), message.end())));
  for (const auto& field : message) {
    this->request.headers.emplace_back(std::string(field.name_string()),
                                       std::string(field.value()));
    bytes += field.name_string().size() + field.value().size();
  }
  this->headerMemory =
    bytes * kRequestCopies + this->request.headers.size() * kFieldMemory;
  message.base().clear();
}

HttpRequest
RequestReader::Take()
{
  HttpRequest out = std::move(this->request);
  out.body = std::move(this->parser->get().body());
  this->Reset();
  this->receivedBytes = this->buffer.size();
  if (this->receivedBytes > 0) {
    this->EstimateHeader(this->receivedBytes);
  } else {
    this->buffer.shrink_to_fit();
  }
  return out;
}

void
RequestReader::Clear()
{
  this->Reset();
  this->buffer.clear();
  this->buffer.shrink_to_fit();
}

void
RequestReader::Reset()
{
  this->parser.reset();
  this->request = {};
  this->error = {};
  this->receivedBytes = 0;
  this->headerMemory = 0;
  this->extensionBytes = 0;
  this->hasHeader = false;
  this->keepsAlive = false;
}

} // namespace lycheestand::net
