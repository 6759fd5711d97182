#include "controllers.h"

namespace lycheestand::router {

namespace {

// Owns the newest configuration and returns it only while control has confirmed
// it as current.
class ConfigurationController : public net::IoTask
{
public:
  ConfigurationController(caf::actor_config& aConfig,
                          net::Runtime aRuntime,
                          Duration aConfirmationLimit,
                          RouteTableReader aReadTable,
                          caf::actor aEndpoint)
    : net::IoTask(aConfig, aRuntime)
    , confirmationLimit(aConfirmationLimit)
    , readTable(std::move(aReadTable))
    , endpoint(std::move(aEndpoint))
  {
  }

protected:
  // The gauge exists from the start.
  void Start() override { net::ReportEvacuatedZones({}, {}); }

  caf::message_handler Handlers() override
  {
    return {
      [this](FromControl& aMessage) { this->Handle(aMessage.message); },
      [this](GetConfiguration) {
        return this->IsConfirmed() ? ActiveConfiguration{ this->snapshot,
                                                          this->table,
                                                          this->confirmedAt }
                                   : ActiveConfiguration{};
      },
      [this](DumpState) { return this->Dump(); },
    };
  }

private:
  void Handle(const wire::Message& aMessage)
  {
    if (const auto* push = std::get_if<wire::ConfigPush>(&aMessage)) {
      this->ApplyPush(*push);
    } else if (const auto* ack = std::get_if<wire::HeartbeatAck>(&aMessage)) {
      this->Confirm(*ack);
    }
  }

  // A push from a former leader may arrive after one from the new leader, so
  // pushes of older revisions are ignored.
  void ApplyPush(const wire::ConfigPush& aPush)
  {
    if (this->snapshot && aPush.revision <= this->revision) {
      return;
    }
    auto text = this->ExpandDocument(aPush);
    if (text.has_error()) {
      this->RejectPush(text.error());
      return;
    }
    auto parsed = settings::ParseFleetSnapshot(text.value());
    if (parsed.has_error()) {
      this->RejectPush(parsed.error());
      return;
    }
    this->ApplyRouteTable(parsed.value().routes);
    this->ApplyEvacuatedZones(parsed.value().evacuatedZones);
    this->revision = aPush.revision;
    this->document = std::move(text.value());
    this->snapshot = std::make_shared<const settings::FleetSnapshot>(
      std::move(parsed.value()));
    net::Log(net::LogLevel::Info,
             "configuration is active",
             { { "revision", std::to_string(this->revision.Get()) } });
  }

  // Control validates a route table before it accepts it. A router of another
  // build may still be unable to parse it, and then keeps the active table.
  void ApplyRouteTable(const std::string& aText)
  {
    if (!this->readTable || aText.empty() ||
        (this->snapshot && this->snapshot->routes == aText)) {
      return;
    }
    auto table = this->readTable(aText);
    if (table.has_error()) {
      net::Log(
        net::LogLevel::Error,
        "can't parse the route table from control; not applied",
        { { "event", "routes_unreadable" }, { "problem", table.error() } });
      return;
    }
    this->table =
      std::make_shared<const routes::RouteTable>(std::move(table.value()));
    net::Log(net::LogLevel::Info,
             "route table is active",
             { { "event", "routes_in_force" },
               { "version", std::to_string(this->table->Version().Get()) } });
    net::Metrics()
      .GetGauge("lycheestand_routes_version")
      .Set(static_cast<std::int64_t>(this->table->Version().Get()));
  }

  // The endpoint controller gets the zones before any request gets the
  // snapshot, so the first request of a router that has just started avoids
  // them as well.
  void ApplyEvacuatedZones(const std::set<ZoneId>& aZones)
  {
    const std::set<ZoneId> old =
      this->snapshot ? this->snapshot->evacuatedZones : std::set<ZoneId>();
    if (aZones == old) {
      return;
    }
    this->send(this->endpoint, SetEvacuatedZones{ aZones });
    net::ReportEvacuatedZones(old, aZones);
  }

  // Returns the whole snapshot of a push, which may be a patch.
  Result<std::string, settings::SettingsError> ExpandDocument(
    const wire::ConfigPush& aPush) const
  {
    using R = Result<std::string, settings::SettingsError>;
    if (aPush.patch.empty() && aPush.base == Revision(0)) {
      return R(boost::outcome_v2::in_place_type<std::string>, aPush.document);
    }
    if (aPush.base == Revision(0)) {
      return settings::ApplySnapshotPatch("", aPush.patch);
    }
    if (aPush.base != this->revision) {
      return settings::SettingsError{
        "", "", "the patch is based on another revision"
      };
    }
    return settings::ApplySnapshotPatch(this->document, aPush.patch);
  }

  // Requests the full configuration. The active one stays, but is no longer
  // confirmed as current.
  void RejectPush(const settings::SettingsError& aError)
  {
    net::Log(net::LogLevel::Error,
             "can't use the configuration from control",
             { { "error", settings::ToString(aError) } });
    this->confirmedAt = {};
    this->send(caf::actor_cast<caf::actor>(this->current_sender()),
               RequestFullConfiguration{});
  }

  // The age of a confirmation counts from when the heartbeat was sent, since
  // the leader verified its leadership after that.
  void Confirm(const wire::HeartbeatAck& aAck)
  {
    if (!this->snapshot || aAck.revision > this->revision) {
      return;
    }
    TimePoint sentAt{ std::chrono::duration_cast<Duration>(aAck.sentAt) };
    this->confirmedAt = std::max(this->confirmedAt, sentAt);
  }

  bool IsConfirmed() const
  {
    return this->snapshot && net::Now(this->GetRuntime()) - this->confirmedAt <
                               this->confirmationLimit;
  }

  std::string Dump() const
  {
    return "{\"revision\":" + std::to_string(this->revision.Get()) +
           ",\"confirmed\":" + (this->IsConfirmed() ? "true" : "false") + "}";
  }

  Duration confirmationLimit;
  RouteTableReader readTable;
  caf::actor endpoint;
  Revision revision;
  std::string document;
  std::shared_ptr<const settings::FleetSnapshot> snapshot;
  std::shared_ptr<const routes::RouteTable> table;
  TimePoint confirmedAt{};
};

} // namespace

caf::actor
SpawnConfigurationController(const net::Runtime& aRuntime,
                             Duration aConfirmationLimit,
                             RouteTableReader aReadTable,
                             caf::actor aEndpoint)
{
  return aRuntime.system->spawn<ConfigurationController>(
    aRuntime, aConfirmationLimit, std::move(aReadTable), std::move(aEndpoint));
}

} // namespace lycheestand::router
