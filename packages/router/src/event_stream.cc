#include "event_stream.h"

#include <algorithm>
#include <charconv>

namespace lycheestand::router {

namespace {

// Returns the number in the event's "id: N" line, if it has one.
std::optional<std::uint64_t>
ReadId(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    auto end = aEvent.find('\n');
    auto line = aEvent.substr(0, end);
    aEvent.remove_prefix(end == std::string_view::npos ? aEvent.size()
                                                       : end + 1);
    if (!line.starts_with("id:")) {
      continue;
    }
    line.remove_prefix(3);
    while (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    auto read = std::from_chars(line.data(), line.data() + line.size(), id);
    return read.ec == std::errc{} ? std::optional(id) : std::nullopt;
  }
  return std::nullopt;
}

// Returns the offset after the first blank line at or after aFrom, or npos.
std::size_t
FindEventEnd(std::string_view aText, std::size_t aFrom)
{
  for (auto at = aText.find('\n', aFrom); at != std::string_view::npos;
       at = aText.find('\n', at + 1)) {
    auto next = at + 1;
    if (next < aText.size() && aText[next] == '\r') {
      ++next;
    }
    if (next < aText.size() && aText[next] == '\n') {
      return next + 1;
    }
  }
  return std::string_view::npos;
}

constexpr unsigned kStatusNoContent = 204;

// Least time and events between two results of a GapMeter. Each is a message to
// the endpoint controller, and a router may have some hundred streams.
constexpr Duration kGapWindow = std::chrono::seconds(1);
constexpr std::size_t kMinGapEvents = 4;

// Length of the longest terminator of an event, "\n\r\n".
constexpr std::size_t kMaxTerminatorBytes = 3;

} // namespace

std::vector<RawEvent>
EventSplitter::Feed(std::string_view aChunk)
{
  this->remainder += aChunk;
  std::vector<RawEvent> events;
  std::size_t begin = 0;
  std::size_t from = this->searched;
  for (auto end = FindEventEnd(this->remainder, from); end != std::string::npos;
       end = FindEventEnd(this->remainder, from)) {
    std::string bytes = this->remainder.substr(begin, end - begin);
    auto id = ReadId(bytes);
    events.push_back({ std::move(bytes), id });
    begin = end;
    from = end;
  }
  this->remainder.erase(0, begin);
  this->searched = this->remainder.size() -
                   std::min(this->remainder.size(), kMaxTerminatorBytes - 1);
  return events;
}

EventAction
CheckOrder(std::optional<std::uint64_t> aLast, const RawEvent& aEvent)
{
  if (!aLast || !aEvent.id) {
    return EventAction::Deliver;
  }
  if (*aEvent.id <= *aLast) {
    return EventAction::Skip;
  }
  return *aEvent.id == *aLast + 1 ? EventAction::Deliver : EventAction::Gap;
}

std::optional<Duration>
GapMeter::Add(std::size_t aEvents, TimePoint aNow)
{
  if (!this->startedAt) {
    this->startedAt = aNow;
    this->events = 0;
    return std::nullopt;
  }
  this->events += aEvents;
  Duration time = aNow - *this->startedAt;
  if (time < kGapWindow || this->events < kMinGapEvents) {
    return std::nullopt;
  }
  Duration gap = time / static_cast<std::int64_t>(this->events);
  this->startedAt = aNow;
  this->events = 0;
  return gap;
}

bool
EndsWithConnection(unsigned aStatus, const net::Headers& aHeaders)
{
  return aStatus != kStatusNoContent &&
         !net::FindHeader(aHeaders, "Content-Length") &&
         !net::FindHeader(aHeaders, "Transfer-Encoding");
}

// Only the events tell whether a stream that ends with its connection is whole.
CallResult
RejectBrokenStream(const CallResult& aResult)
{
  if (aResult.has_error()) {
    return aResult;
  }
  const auto& response = aResult.value();
  auto type = net::FindHeader(response.headers, "Content-Type").value_or("");
  bool isSuccess = response.status >= 200 && response.status < 300;
  if (!isSuccess || !type.starts_with("text/event-stream") ||
      !EndsWithConnection(response.status, response.headers)) {
    return aResult;
  }
  EventSplitter events;
  bool hasEvents = !events.Feed(response.body).empty();
  return hasEvents && !events.IsInsideEvent()
           ? aResult
           : CallResult(net::CallFailure::Interrupted);
}

} // namespace lycheestand::router
