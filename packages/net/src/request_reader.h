#ifndef LYCHEESTAND_NET_SRC_REQUEST_READER_H
#define LYCHEESTAND_NET_SRC_REQUEST_READER_H

// Reads HTTP requests from the bytes of a connection. The code does no I/O.

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <lycheestand/net.h>

namespace lycheestand::net {

// Limits of one request. The extensions of its chunks together, and its
// trailer, may each be as long as its headers.
struct RequestLimits
{
  std::size_t maxHeaderBytes = 0;
  std::size_t maxBodyBytes = 0;
};

class RequestReader
{
public:
  enum class State
  {
    Incomplete,
    Complete,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge
  };

  explicit RequestReader(RequestLimits aLimits)
    : limits(aLimits)
  {
  }
  // The parser refers to the reader.
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  // Returns space for bytes to read; Commit says how many have been read.
  boost::asio::mutable_buffer Prepare();
  void Commit(std::size_t aBytes);

  // Parses what has arrived. Must not be called again after another result than
  // Incomplete until Take or Clear has been called.
  State Read();

  // Returns whether a byte of a request has arrived.
  bool HasBegun() const { return this->receivedBytes > 0; }
  bool IsHeaderComplete() const { return this->hasHeader; }
  // Bytes of the current request that have arrived.
  std::size_t ReceivedBytes() const { return this->receivedBytes; }
  // Memory that the request takes, also when it is forwarded. Until the headers
  // are complete it is an upper estimate, which is known before they are
  // parsed.
  std::size_t HeldBytes() const;

  // Why the request is malformed.
  std::string Problem() const { return this->error.message(); }
  // Valid when the headers are complete.
  bool KeepsAlive() const { return this->keepsAlive; }
  bool IsHead() const { return this->request.method == "HEAD"; }

  // Returns the complete request. Bytes of the next one are kept.
  HttpRequest Take();

  // Drops all bytes and gives their memory back.
  void Clear();

private:
  using ErrorCode = boost::beast::error_code;
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

  void StartParser();
  void EstimateHeader(std::size_t aBytes);
  void TakeHeader();
  State FindState() const;
  void Reset();

  RequestLimits limits;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  std::function<void(std::uint64_t, boost::beast::string_view, ErrorCode&)>
    countExtensions;
  HttpRequest request;
  ErrorCode error;
  std::size_t receivedBytes = 0;
  std::size_t headerMemory = 0;
  std::size_t extensionBytes = 0;
  bool hasHeader = false;
  bool keepsAlive = false;
};

} // namespace lycheestand::net

#endif
