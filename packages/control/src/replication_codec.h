#ifndef LYCHEESTAND_CONTROL_SRC_REPLICATION_CODEC_H
#define LYCHEESTAND_CONTROL_SRC_REPLICATION_CODEC_H

// Messages of the replicated log between control instances.

#include <lycheestand/consensus.h>
#include <lycheestand/wire.h>

namespace lycheestand::control {

// Returns a message without content, which keeps an idle link open.
wire::Replication
MakeKeepAlive(const InstanceId& aFrom);

wire::Replication
ToWire(const consensus::Message& aMessage);

// Returns the message, or nothing if it is a keep-alive or is malformed.
std::optional<consensus::Message>
FromWire(const wire::Replication& aMessage, const InstanceId& aSelf);

} // namespace lycheestand::control

#endif
