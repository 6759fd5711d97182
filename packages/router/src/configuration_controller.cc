#include "controllers.h"

namespace lycheestand::router {

namespace {

// Keeps the newest configuration and serves it only while it is confirmed.
class ConfigurationController : public net::IoTask
{
public:
  ConfigurationController(caf::actor_config& aConfig,
                          net::Runtime aRuntime,
                          Duration aConfirmationLimit,
                          RouteTableReader aReadTable)
    : net::IoTask(aConfig, aRuntime)
    , confirmationLimit(aConfirmationLimit)
    , readTable(std::move(aReadTable))
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return {
      [this](FromControl& aMessage) { this->Handle(aMessage.message); },
      [this](GetConfiguration) {
        return this->IsConfirmed()
                 ? ConfigurationInForce{ this->snapshot, this->table }
                 : ConfigurationInForce{};
      },
      [this](DumpState) { return this->Dump(); },
    };
  }

private:
  void Handle(const wire::Message& aMessage)
  {
    if (const auto* push = std::get_if<wire::ConfigPush>(&aMessage)) {
      this->Take(*push);
    } else if (const auto* ack = std::get_if<wire::HeartbeatAck>(&aMessage)) {
      this->Confirm(*ack);
    }
  }

  // A push from a leader that was replaced may arrive after the new leader's;
  // revisions never go back.
  void Take(const wire::ConfigPush& aPush)
  {
    if (this->snapshot && aPush.revision <= this->revision) {
      return;
    }
    auto text = this->Expand(aPush);
    if (text.has_error()) {
      this->AskAgain(text.error());
      return;
    }
    auto parsed = settings::ParseFleetSnapshot(text.value());
    if (parsed.has_error()) {
      this->AskAgain(parsed.error());
      return;
    }
    this->TakeTable(parsed.value().routes);
    this->revision = aPush.revision;
    this->document = std::move(text.value());
    this->snapshot = std::make_shared<const settings::FleetSnapshot>(
      std::move(parsed.value()));
    net::Log(net::LogLevel::Info,
             "configuration in force",
             { { "revision", std::to_string(this->revision.Get()) } });
  }

  // Control has checked the table before it was accepted; a router of another
  // build may still not be able to read it, and then keeps the one in force.
  void TakeTable(const std::string& aText)
  {
    if (!this->readTable || aText.empty() ||
        (this->snapshot && this->snapshot->routes == aText)) {
      return;
    }
    auto table = this->readTable(aText);
    if (table.has_error()) {
      net::Log(
        net::LogLevel::Error,
        "can't read the table of routes from control",
        { { "event", "routes_unreadable" }, { "problem", table.error() } });
      return;
    }
    this->table =
      std::make_shared<const routes::RouteTable>(std::move(table.value()));
    net::Log(net::LogLevel::Info,
             "table of routes in force",
             { { "event", "routes_in_force" },
               { "version", std::to_string(this->table->Version().Get()) } });
    net::Metrics()
      .GetGauge("lycheestand_routes_version")
      .Set(static_cast<std::int64_t>(this->table->Version().Get()));
  }

  // Returns the whole text of a push.
  Result<std::string, settings::SettingsError> Expand(
    const wire::ConfigPush& aPush) const
  {
    using R = Result<std::string, settings::SettingsError>;
    if (aPush.base == Revision(0)) {
      return R(boost::outcome_v2::in_place_type<std::string>, aPush.document);
    }
    if (aPush.base != this->revision) {
      return settings::SettingsError{ "", "", "the patch has another base" };
    }
    return settings::ApplySnapshotPatch(this->document, aPush.document);
  }

  // The configuration that is in force stays, but is no longer confirmed.
  void AskAgain(const settings::SettingsError& aError)
  {
    net::Log(net::LogLevel::Error,
             "can't use the configuration from control",
             { { "error", settings::ToString(aError) } });
    this->confirmedAt = {};
    this->send(caf::actor_cast<caf::actor>(this->current_sender()),
               ConfigurationLost{});
  }

  // The age counts from the time when the heartbeat was sent: the leader
  // confirmed its leadership after that.
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
                             RouteTableReader aReadTable)
{
  return aRuntime.system->spawn<ConfigurationController>(
    aRuntime, aConfirmationLimit, std::move(aReadTable));
}

} // namespace lycheestand::router
