#ifndef LYCHEESTAND_ROUTER_SRC_ENDPOINT_REPORTS_H
#define LYCHEESTAND_ROUTER_SRC_ENDPOINT_REPORTS_H

// Decoding of what endpoints report about themselves, in JSON.

#include <lycheestand/routing.h>
#include <optional>
#include <string>
#include <vector>

namespace lycheestand::router {

// Returns the report in an answer to GET /load that was asked for at aAskedAt,
// or nothing if it is malformed.
std::optional<routing::LoadReport>
ParseLoadReport(const std::string& aBody, TimePoint aAskedAt);

// An answer to GET /events.
struct EventBatch
{
  std::uint64_t next = 0;
  std::vector<routing::CacheEvent> events;
};

// Returns the events in an answer, or nothing if it is malformed.
std::optional<EventBatch>
ParseEvents(const std::string& aBody);

} // namespace lycheestand::router

#endif
