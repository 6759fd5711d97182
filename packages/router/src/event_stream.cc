#include "event_stream.h"

#include <algorithm>
#include <charconv>

namespace lycheestand::router {

namespace {

// Returns the number in the event's line "id: N".
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

// Returns the offset after the first blank line from an offset on, or npos.
std::size_t
FindEnd(std::string_view aText, std::size_t aFrom)
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

// Length of the longest ending of an event: "\n\r\n".
constexpr std::size_t kEndBytes = 3;

} // namespace

std::vector<StreamedEvent>
EventSplitter::Feed(std::string_view aPiece)
{
  this->rest += aPiece;
  std::vector<StreamedEvent> events;
  std::size_t begin = 0;
  std::size_t from = this->searched;
  for (auto end = FindEnd(this->rest, from); end != std::string::npos;
       end = FindEnd(this->rest, from)) {
    std::string bytes = this->rest.substr(begin, end - begin);
    auto id = ReadId(bytes);
    events.push_back({ std::move(bytes), id });
    begin = end;
    from = end;
  }
  this->rest.erase(0, begin);
  this->searched =
    this->rest.size() - std::min(this->rest.size(), kEndBytes - 1);
  return events;
}

EventStep
CheckOrder(std::optional<std::uint64_t> aLast, const StreamedEvent& aEvent)
{
  if (!aLast || !aEvent.id) {
    return EventStep::Deliver;
  }
  if (*aEvent.id <= *aLast) {
    return EventStep::Skip;
  }
  return *aEvent.id == *aLast + 1 ? EventStep::Deliver : EventStep::Gap;
}

} // namespace lycheestand::router
