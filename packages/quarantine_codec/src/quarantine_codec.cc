#include <algorithm>
#include <lycheestand/quarantine_codec.h>

namespace lycheestand::quarantine_codec {

using quarantine::RequestLists;
using quarantine::RequestState;

namespace {

Milliseconds
ToMilliseconds(Duration aTime)
{
  return std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(aTime));
}

} // namespace

void
WriteLists(const RequestLists& aLists,
           TimePoint aNow,
           wire::QuarantineState& aOut)
{
  aOut.suspectRequests = { aLists.suspects.begin(), aLists.suspects.end() };
  aOut.requests.clear();
  for (const auto& entry : aLists.entries) {
    aOut.requests.push_back({ entry.digest,
                              static_cast<std::uint8_t>(entry.state),
                              entry.crashes,
                              ToMilliseconds(entry.end - aNow),
                              ToMilliseconds(entry.length) });
  }
}

RequestLists
ReadLists(const wire::QuarantineState& aState, TimePoint aNow)
{
  RequestLists lists;
  lists.suspects = { aState.suspectRequests.begin(),
                     aState.suspectRequests.end() };
  for (const auto& record : aState.requests) {
    if (record.state <= static_cast<std::uint8_t>(RequestState::Quarantined)) {
      lists.entries.push_back({ record.digest,
                                static_cast<RequestState>(record.state),
                                record.crashes,
                                aNow + record.remaining,
                                record.length });
    }
  }
  return lists;
}

wire::QuarantineState
WithAge(wire::QuarantineState aState, Duration aAge)
{
  for (auto& record : aState.requests) {
    record.remaining = ToMilliseconds(record.remaining - aAge);
  }
  return aState;
}

} // namespace lycheestand::quarantine_codec
