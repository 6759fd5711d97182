#ifndef LYCHEESTAND_DISCOVERY_H
#define LYCHEESTAND_DISCOVERY_H

// Reads the platform's list of endpoints again and again.

#include <functional>
#include <lycheestand/core.h>
#include <lycheestand/membership.h>
#include <lycheestand/net.h>
#include <optional>
#include <string>
#include <vector>

namespace lycheestand::discovery {

// One page of the list.
struct ListPage
{
  std::vector<membership::Endpoint> endpoints;
  // Entries that can't be read; they name no endpoint.
  std::size_t unreadable = 0;
  // Token of the following page; empty on the last one.
  std::string next;
};

// How a platform's list is read.
struct ListFormat
{
  // Returns the target of a page; the first one has an empty token.
  std::function<std::string(const std::string& aPage)> target;
  // Returns the page in an answer, or nothing if the answer is malformed.
  std::function<std::optional<ListPage>(const std::string& aBody)> read;
  // Time between the ends of two readings.
  Duration interval = std::chrono::seconds(1);
};

// Returns the format of the project's own stand-in for a platform.
ListFormat
MakePlainFormat();

// A whole list has been read. Sent to the reader's user.
struct ListRead
{
  std::vector<membership::Endpoint> endpoints;
};

// To the reader: read again and again, or stop doing so.
struct SetReading
{
  bool isOn = false;
};

// Starts a reader that sends each list to its user; it reads only while it is
// told to. While reading fails, nothing is sent.
caf::actor
SpawnListReader(const net::Runtime& aRuntime,
                caf::actor aPool,
                const Address& aPlatform,
                ListFormat aFormat,
                caf::actor aUser);

} // namespace lycheestand::discovery

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::discovery::ListRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::discovery::SetReading)

#endif
