#ifndef LYCHEESTAND_CONTROL_SRC_REPLICATION_CODEC_H
#define LYCHEESTAND_CONTROL_SRC_REPLICATION_CODEC_H

// Converts between the consensus package's messages and wire::Replication.

#include "peer_directory.h"

#include <lycheestand/consensus.h>
#include <lycheestand/wire.h>

namespace lycheestand::control {

// Returns a message without content that keeps an idle link open.
wire::Replication
MakeKeepAlive(const InstanceId& aFrom);

// Returns a keep-alive that has an announcement.
wire::Replication
MakeAnnouncement(const InstanceId& aFrom, const Announcement& aAnnouncement);

// Returns the announcement in a keep-alive, or nothing if it has none or is
// malformed. Untrusted input is safe.
std::optional<Announcement>
ReadAnnouncement(const wire::Replication& aMessage);

wire::Replication
ToWire(const consensus::Message& aMessage);

// Returns the consensus message, or nothing if it is a keep-alive or malformed.
// aSelf is the instance that received it. Untrusted input is safe.
std::optional<consensus::Message>
FromWire(const wire::Replication& aMessage, const InstanceId& aSelf);

} // namespace lycheestand::control

#endif
