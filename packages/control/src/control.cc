#include "storage_task.h"
#include "tasks.h"
#include "zone_orders.h"

#include <caf/send.hpp>
#include <lycheestand/control.h>

namespace lycheestand::control {

namespace {

RoutesReply
MakeReply(bool aIsAnswered, const InstanceId& aLeader)
{
  RoutesReply reply;
  if (aIsAnswered) {
    reply.leadershipStatus = LeadershipStatus::Leader;
  } else if (!aLeader.Get().empty()) {
    reply.leadershipStatus = LeadershipStatus::Follower;
    reply.leader = aLeader;
  }
  return reply;
}

void
LogReplacement(ConfigVersion aVersion, const RoutesReply& aReply)
{
  if (aReply.leadershipStatus == LeadershipStatus::Leader) {
    net::Log(net::LogLevel::Info,
             "route table committed",
             { { "event", "routes_committed" },
               { "version", std::to_string(aVersion.Get()) },
               { "in_force", std::to_string(aReply.document.version.Get()) } });
  }
}

void
LogUnconfirmed(ConfigVersion aVersion)
{
  net::Log(net::LogLevel::Warning,
           "no quorum confirmed a route table in time; it may be committed "
           "later",
           { { "event", "routes_unconfirmed" },
             { "version", std::to_string(aVersion.Get()) } });
}

EvacuationReply
ToReply(const ZoneOrderResult& aResult)
{
  const auto& proposal = aResult.proposal;
  EvacuationReply reply;
  reply.problem = aResult.problem;
  if (proposal.outcome) {
    reply.leadershipStatus = LeadershipStatus::Leader;
    if (const auto* rejected =
          std::get_if<state::Rejected>(&*proposal.outcome)) {
      reply.result = rejected->reason == state::Rejection::LastZone
                       ? EvacuationResult::LastZone
                       : EvacuationResult::UnknownZone;
    }
  } else if (!proposal.isUnknown && !proposal.leader.Get().empty()) {
    reply.leadershipStatus = LeadershipStatus::Follower;
    reply.leader = proposal.leader;
  }
  return reply;
}

class ControlInstance : public Control
{
public:
  ControlInstance(caf::actor aReplica,
                  caf::actor aFleet,
                  caf::actor aQuarantine)
    : replica(std::move(aReplica))
    , fleet(std::move(aFleet))
    , quarantine(std::move(aQuarantine))
  {
  }

  net::HttpHandler OperatorHandler() override
  {
    return MakeOperatorHandler(this->replica, this->fleet, this->quarantine);
  }

  void SetControl(std::vector<settings::ControlMember> aMembers) override
  {
    caf::anon_send(this->replica, SetPeers{ std::move(aMembers) });
  }

  void ReplaceRoutes(net::IoTask& aTask,
                     RoutesDocument aDocument,
                     RoutesCallback aDone) override
  {
    auto version = aDocument.version;
    state::ReplaceRoutes command{ aDocument.version,
                                  std::move(aDocument.text),
                                  std::move(aDocument.prepaid) };
    aTask.request(this->replica, kQuorumTimeout, Propose{ std::move(command) })
      .then(
        [aDone, version](const ProposalResult& aResult) {
          RoutesReply reply =
            MakeReply(aResult.outcome.has_value(), aResult.leader);
          if (aResult.outcome) {
            const auto* applied =
              std::get_if<state::ConfigurationApplied>(&*aResult.outcome);
            reply.isRejected = applied == nullptr;
            reply.document.version =
              applied != nullptr ? applied->version : ConfigVersion();
          } else if (aResult.isUnknown) {
            reply.leadershipStatus = LeadershipStatus::Unknown;
          }
          LogReplacement(version, reply);
          aDone(reply);
        },
        [aDone, version](const caf::error&) {
          LogUnconfirmed(version);
          aDone({});
        });
  }

  void SetZoneEvacuation(net::IoTask& aTask,
                         ZoneId aZone,
                         bool aIsEvacuated,
                         EvacuationCallback aDone) override
  {
    state::SetZoneEvacuation command;
    command.zone = std::move(aZone);
    command.isEvacuated = aIsEvacuated;
    ProposeZoneOrder(
      aTask,
      this->replica,
      this->fleet,
      std::move(command),
      [aDone](const ZoneOrderResult& aResult) { aDone(ToReply(aResult)); });
  }

  void ReadRoutes(net::IoTask& aTask, RoutesCallback aDone) override
  {
    aTask.request(this->replica, kQuorumTimeout, GetRoutes{})
      .then(
        [aDone](const RoutesResult& aFound) {
          RoutesReply reply =
            MakeReply(aFound.routes.has_value(), aFound.leader);
          if (aFound.routes) {
            reply.document = { aFound.routes->Version(),
                               aFound.routes->Document(),
                               {} };
          }
          aDone(reply);
        },
        [aDone](const caf::error&) { aDone({}); });
  }

  void Dump(net::IoTask& aTask, std::function<void(std::string)> aDone) override
  {
    auto askFleet = [&task = aTask, fleetTask = this->fleet, aDone](
                      const std::string& aReplica) {
      task.request(fleetTask, std::chrono::seconds(2), DumpState{})
        .then([aReplica, aDone](const std::string& aFleet) {
          aDone("{\"replica\":" + aReplica + ",\"fleet\":" + aFleet + "}");
        });
    };
    aTask.request(this->replica, std::chrono::seconds(2), DumpState{})
      .then(askFleet);
  }

private:
  caf::actor replica;
  caf::actor fleet;
  caf::actor quarantine;
};

} // namespace

Result<std::unique_ptr<Control>, std::string>
StartControl(const net::Runtime& aRuntime,
             caf::actor aPool,
             const settings::ProcessSettings& aSettings,
             const net::FleetKey& aKey,
             PlatformFormat aFormat)
{
  using R = Result<std::unique_ptr<Control>, std::string>;
  if (aSettings.mayBootstrap && !aSettings.dataFolder.empty()) {
    auto formatted = FormatDataFolderIfEmpty(aSettings);
    if (formatted.has_error()) {
      return R(boost::outcome_v2::in_place_type<std::string>,
               formatted.error());
    }
  }
  auto spawned =
    aSettings.dataFolder.empty()
      ? Result<caf::actor, std::string>(SpawnGateway(aRuntime, aSettings, aKey))
      : SpawnReplica(aRuntime, aSettings, aKey);
  if (spawned.has_error()) {
    return R(boost::outcome_v2::in_place_type<std::string>, spawned.error());
  }
  auto replica = spawned.value();
  auto fleet = SpawnFleetController(aRuntime, aSettings, replica);
  auto quarantine = SpawnQuarantineController(aRuntime, fleet);
  // Sent first, so that it arrives before the replica's LeadershipChanged.
  caf::anon_send(fleet, SetQuarantineController{ quarantine });
  caf::anon_send(fleet,
                 SetLimitController{ SpawnLimitController(
                   aRuntime, fleet, std::move(aFormat.readColdRules)) });
  caf::anon_send(
    fleet,
    SetStreamController{ SpawnStreamController(aRuntime, replica, fleet) });
  caf::anon_send(replica, fleet);
  auto server =
    net::SpawnLinkServer(aRuntime,
                         aKey,
                         aSettings.peerAddress,
                         settings::MakeLinkOptions<net::LinkOptions>(aSettings),
                         fleet);
  if (server.has_error()) {
    return R(boost::outcome_v2::in_place_type<std::string>, server.error());
  }
  // A fleet that is configured by a route table sends no orders to engines.
  if (!aSettings.routes) {
    SpawnOrderSender(aRuntime, aPool, replica, fleet);
  }
  if (aSettings.endpointListAddress) {
    auto reader = discovery::SpawnListReader(aRuntime,
                                             std::move(aPool),
                                             *aSettings.endpointListAddress,
                                             std::move(aFormat.list),
                                             fleet);
    caf::anon_send(fleet, SetListReader{ reader });
  }
  return R(std::make_unique<ControlInstance>(replica, fleet, quarantine));
}

} // namespace lycheestand::control
