#ifndef LYCHEESTAND_ROUTER_SRC_EVENT_STREAM_H
#define LYCHEESTAND_ROUTER_SRC_EVENT_STREAM_H

// Event streams (text/event-stream) that are passed on byte for byte.

#include <cstdint>
#include <lycheestand/net.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheestand::router {

// One event as received, including the blank line that terminates it.
struct RawEvent
{
  std::string bytes;
  std::optional<std::uint64_t> id;
};

// Splits a stream into complete events, regardless of how it is divided into
// chunks.
class EventSplitter
{
public:
  // Adds a chunk and returns the events that it completes.
  std::vector<RawEvent> Feed(std::string_view aChunk);

  // Returns whether the stream so far ends inside an event. Line breaks between
  // events don't count.
  bool IsInsideEvent() const
  {
    return this->remainder.find_first_not_of("\r\n") != std::string::npos;
  }

  // Returns the bytes after the last complete event.
  const std::string& Remainder() const { return this->remainder; }

private:
  std::string remainder;
  // Length of the part of `remainder` already searched for the end of an event.
  std::size_t searched = 0;
};

// How to handle an event of a stream that may have been resumed at another
// endpoint.
enum class EventAction
{
  Deliver,
  // The caller already has the event.
  Skip,
  // Events before this one are missing.
  Gap
};

// Compares an event's id with that of the last delivered event. An event
// without an id, or one for which no last id is known, is delivered.
EventAction
CheckOrder(std::optional<std::uint64_t> aLast, const RawEvent& aEvent);

// Returns whether the answer has neither a length nor chunks, so that it ends
// with its connection, whatever ended that.
bool
EndsWithConnection(unsigned aStatus, const net::Headers& aHeaders);

// Returns the result of a call, or Interrupted if the answer is a stream of
// events that its endpoint broke off.
using CallResult = Result<net::HttpResponse, net::CallFailure>;
CallResult
RejectBrokenStream(const CallResult& aResult);

// Measures the mean gap between the events of a stream.
class GapMeter
{
public:
  // Adds events that arrived together. Returns the mean gap if enough time and
  // events have passed since the last result.
  std::optional<Duration> Add(std::size_t aEvents, TimePoint aNow);

  // The events since the last result don't count, since the caller has delayed
  // them.
  void Discard() { this->startedAt.reset(); }

private:
  std::optional<TimePoint> startedAt;
  std::size_t events = 0;
};

} // namespace lycheestand::router

#endif
