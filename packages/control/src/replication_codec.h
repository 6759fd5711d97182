#ifndef LYCHEESTAND_CONTROL_SRC_REPLICATION_CODEC_H
#define LYCHEESTAND_CONTROL_SRC_REPLICATION_CODEC_H

// Converts between the consensus package's messages and wire::Replication.

#include <lycheestand/consensus.h>
#include <lycheestand/wire.h>

namespace lycheestand::control {

// Returns a message without content that keeps an idle link open.
wire::Replication
MakeKeepAlive(const InstanceId& aFrom);

// Returns a keep-alive that tells an instance which is not a member of the
// group's members and, if it is known, of the leader.
wire::Replication
MakeAnnouncement(const InstanceId& aFrom,
                 const InstanceId& aLeader,
                 const consensus::Configuration& aMembers);

// Returns the members in a keep-alive, or nothing if it has none or is
// malformed. Untrusted input is safe.
std::optional<consensus::Configuration>
ReadAnnouncement(const wire::Replication& aMessage);

wire::Replication
ToWire(const consensus::Message& aMessage);

// Returns the consensus message, or nothing if it is a keep-alive or malformed.
// aSelf is the instance that received it. Untrusted input is safe.
std::optional<consensus::Message>
FromWire(const wire::Replication& aMessage, const InstanceId& aSelf);

} // namespace lycheestand::control

#endif
