#include "zone_orders.h"

namespace lycheestand::control {

namespace {

// Covers the wait of a new leader for the endpoint list. Together with
// kQuorumTimeout it is less than the time within which the platform expects an
// acknowledgement (5 s).
constexpr Duration kZonesTimeout = std::chrono::milliseconds(1500);

std::string
JoinZones(const std::set<ZoneId>& aZones)
{
  std::string out;
  for (const auto& zone : aZones) {
    out += (out.empty() ? "" : ", ") + zone.Get();
  }
  return out;
}

// Returns why an order for a zone was rejected; empty if it was not.
std::string
DescribeRejection(const ZoneId& aZone,
                  const KnownZones& aZones,
                  const ProposalResult& aResult)
{
  const auto* rejected =
    aResult.outcome ? std::get_if<state::Rejected>(&*aResult.outcome) : nullptr;
  if (rejected == nullptr) {
    return "";
  }
  switch (rejected->reason) {
    case state::Rejection::UnknownZone:
      return "there is no zone \"" + aZone.Get() +
             "\"; known zones: " + JoinZones(aZones.known);
    case state::Rejection::LastZone:
      return "all other zones that have endpoints are evacuated; restore one "
             "of them before zone \"" +
             aZone.Get() + "\" is evacuated";
    case state::Rejection::ChangeIdReused:
      return "the change id belongs to another change";
    default:
      return ToString(rejected->reason);
  }
}

void
LogOrder(const state::SetZoneEvacuation& aCommand,
         const ZoneOrderResult& aResult)
{
  if (!aResult.problem.empty()) {
    net::Log(net::LogLevel::Warning,
             "order for an availability zone rejected",
             { { "event", "zone_order_refused" },
               { "zone", aCommand.zone.Get() },
               { "evacuate", aCommand.isEvacuated ? "true" : "false" },
               { "problem", aResult.problem } });
  } else if (aResult.proposal.outcome) {
    net::Log(net::LogLevel::Info,
             "order for an availability zone committed",
             { { "event", "zone_order" },
               { "zone", aCommand.zone.Get() },
               { "evacuate", aCommand.isEvacuated ? "true" : "false" },
               { "change_id", aCommand.change.Get() } });
  }
}

void
SendProposal(net::IoTask& aTask,
             const caf::actor& aReplica,
             const state::SetZoneEvacuation& aCommand,
             const KnownZones& aZones,
             const std::function<void(const ZoneOrderResult&)>& aDone)
{
  aTask.request(aReplica, kQuorumTimeout, Propose{ aCommand })
    .then(
      [aCommand, aZones, aDone](const ProposalResult& aProposal) {
        ZoneOrderResult result{
          aProposal, DescribeRejection(aCommand.zone, aZones, aProposal)
        };
        LogOrder(aCommand, result);
        aDone(result);
      },
      [aDone](const caf::error&) {
        aDone({ { std::nullopt, {}, true }, "" });
      });
}

} // namespace

// The state machine decides on the order, so that a resent change id gets its
// first result whatever this leader knows about the zone.
void
ProposeZoneOrder(net::IoTask& aTask,
                 const caf::actor& aReplica,
                 const caf::actor& aFleet,
                 state::SetZoneEvacuation aCommand,
                 std::function<void(const ZoneOrderResult&)> aDone)
{
  GetZones getZones{ aCommand.zone };
  aTask.request(aFleet, kZonesTimeout, std::move(getZones))
    .then(
      [&task = aTask, aReplica, command = std::move(aCommand), aDone](
        const KnownZones& aZones) mutable {
        command.isKnown = aZones.known.contains(command.zone);
        command.zonesWithEndpoints = aZones.withEndpoints;
        if (!aZones.isLeader || (!command.isKnown && !aZones.isComplete)) {
          aDone({ { std::nullopt, aZones.leader, false }, "" });
          return;
        }
        SendProposal(task, aReplica, command, aZones, aDone);
      },
      [aDone](const caf::error&) { aDone({}); });
}

} // namespace lycheestand::control
