#ifndef LYCHEESTAND_DISCOVERY_H
#define LYCHEESTAND_DISCOVERY_H

// Polls the platform for its list of endpoints.

#include <functional>
#include <lycheestand/core.h>
#include <lycheestand/membership.h>
#include <lycheestand/net.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheestand::discovery {

// Longest version of software that an entry may name.
inline constexpr std::size_t kMaxVersionBytes = 128;

// One page of the endpoint list.
struct ListPage
{
  std::vector<membership::Endpoint> endpoints;
  // Time for which endpoints stay cold; warm ones are not in it.
  std::map<EndpointId, Duration> coldRemaining;
  // Number of malformed entries, which were skipped.
  std::size_t malformedEntries = 0;
  // Token of the next page; empty on the last page.
  std::string next;
};

// Hooks for the protocol of a platform's endpoint list.
struct ListFormat
{
  // Returns the HTTP request target of a page. The token of the first page is
  // empty.
  std::function<std::string(const std::string& aPageToken)> target;
  // Parses the body of a response; returns nothing if it is malformed.
  std::function<std::optional<ListPage>(const std::string& aBody)> read;
  // Delay between the end of one reading of the list and the start of the next.
  Duration interval = std::chrono::seconds(1);
};

// Returns the format of the standin_platform program: one page, a JSON array of
// endpoints.
ListFormat
MakePlainFormat();

// The complete endpoint list; sent by the reader to its receiver.
struct ListUpdate
{
  std::vector<membership::Endpoint> endpoints;
  // As in ListPage.
  std::map<EndpointId, Duration> coldRemaining;
};

// Sent to the reader to start or stop polling.
struct SetReaderEnabled
{
  bool isEnabled = false;
};

// Starts a task that polls the platform and sends a ListUpdate to the receiver
// after each complete reading of the list. Polling is disabled until a
// SetReaderEnabled message enables it. Nothing is sent while the platform can't
// be reached or gives malformed responses.
caf::actor
SpawnListReader(const net::Runtime& aRuntime,
                caf::actor aPool,
                const Address& aPlatform,
                ListFormat aFormat,
                caf::actor aReceiver);

} // namespace lycheestand::discovery

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::discovery::ListUpdate)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::discovery::SetReaderEnabled)

#endif
