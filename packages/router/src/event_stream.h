#ifndef LYCHEESTAND_ROUTER_SRC_EVENT_STREAM_H
#define LYCHEESTAND_ROUTER_SRC_EVENT_STREAM_H

// Streams of events (text/event-stream) that are passed on byte for byte.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheestand::router {

// One event with the blank line that ends it.
struct StreamedEvent
{
  std::string bytes;
  std::optional<std::uint64_t> id;
};

// Splits a stream into whole events, whatever the pieces it arrives in.
class EventSplitter
{
public:
  // Takes a piece and returns the events that it completes.
  std::vector<StreamedEvent> Feed(std::string_view aPiece);

  // Returns what has arrived of an event that is not complete.
  const std::string& Rest() const { return this->rest; }

private:
  std::string rest;
  // Bytes of the rest that hold no end of an event.
  std::size_t searched = 0;
};

// What is to be done with an event of a stream that may go on at another
// endpoint.
enum class EventStep
{
  Deliver,
  // The caller has it already.
  Skip,
  // Events before it are missing.
  Gap
};

// Returns what is to be done with an event after the last one delivered.
EventStep
CheckOrder(std::optional<std::uint64_t> aLast, const StreamedEvent& aEvent);

} // namespace lycheestand::router

#endif
