#ifndef LYCHEESTAND_ROUTER_SRC_ENDPOINT_REPORTS_H
#define LYCHEESTAND_ROUTER_SRC_ENDPOINT_REPORTS_H

// Decoding of the endpoints' JSON reports: load and cache events.

#include <lycheestand/routing.h>
#include <optional>
#include <string>
#include <vector>

namespace lycheestand::router {

// Parses the answer to a GET /load that was sent at aAskedAt. Returns nothing
// if it is malformed.
std::optional<routing::LoadReport>
ParseLoadReport(const std::string& aBody, TimePoint aAskedAt);

// The answer to GET /events.
struct EventBatch
{
  // Value of `after` with which the events after these are requested.
  std::uint64_t next = 0;
  std::vector<routing::CacheEvent> events;
};

// Parses the answer to GET /events. Returns nothing if it is malformed; single
// malformed events are left out.
std::optional<EventBatch>
ParseEvents(const std::string& aBody);

} // namespace lycheestand::router

#endif
