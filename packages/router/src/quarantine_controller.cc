#include "controllers.h"

namespace lycheestand::router {

namespace {

// Time for opening a connection to an endpoint that broke off. If its process
// has ended, the connection is refused within a round trip.
constexpr Duration kCrashCheckTimeout = std::chrono::milliseconds(400);

std::vector<PromptPartId>
ToVector(const quarantine::Parts& aParts)
{
  return { aParts.begin(), aParts.end() };
}

// Tells crashes of endpoints from single broken connections, and exchanges
// observations and lists with control.
class QuarantineController : public net::IoTask
{
public:
  QuarantineController(caf::actor_config& aConfig, net::Runtime aRuntime)
    : net::IoTask(aConfig, aRuntime)
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return {
      [this](CrashSuspected& aSuspected) {
        this->CheckEndpoint(std::move(aSuspected));
      },
      [this](PartsSucceeded& aSucceeded) { this->ReportSuccess(aSucceeded); },
      [this](CheckParts& aCheck) {
        return CheckPartsReply{
          !quarantine::FindParts(aCheck.parts, this->lists.quarantined).empty()
        };
      },
      [this](FromControl& aMessage) { this->Handle(aMessage.message); },
      [this](ControlUp) { this->Resend(); },
      [this](caf::actor& aLink) { this->link = aLink; },
      [this](DumpState) { return this->Dump(); },
    };
  }

private:
  TimePoint Time() const { return net::Now(this->GetRuntime()); }

  // All requests at an endpoint end at the moment of its crash, and one
  // connection tells for all of them.
  void CheckEndpoint(CrashSuspected aSuspected)
  {
    auto [found, isNew] = this->checked.try_emplace(aSuspected.endpoint);
    found->second.push_back(std::move(aSuspected.parts));
    if (!isNew) {
      return;
    }
    this->TryConnect(
      aSuspected.address,
      kCrashCheckTimeout,
      [this, endpoint = aSuspected.endpoint](net::ConnectResult aResult) {
        this->FinishCheck(endpoint, aResult);
      });
  }

  void FinishCheck(const EndpointId& aEndpoint, net::ConnectResult aResult)
  {
    auto requests = std::move(this->checked.extract(aEndpoint).mapped());
    if (aResult != net::ConnectResult::Refused) {
      return;
    }
    net::Log(net::LogLevel::Warning,
             "an endpoint has crashed",
             { { "event", "endpoint_crashed" },
               { "endpoint", aEndpoint.Get() },
               { "requests", std::to_string(requests.size()) } });
    net::Metrics().GetCounter("lycheestand_endpoint_crashes_total").Add();
    for (auto& parts : requests) {
      quarantine::CrashReports::Report report{ aEndpoint,
                                               std::move(parts),
                                               this->Time() };
      this->Send(report);
      this->reports.Add(std::move(report));
    }
  }

  // The lists change when control has counted the success; until then each
  // request reports the part once more.
  void ReportSuccess(const PartsSucceeded& aSucceeded)
  {
    auto parts = quarantine::FindParts(aSucceeded.parts, this->lists.suspects);
    if (!parts.empty()) {
      this->send(this->link,
                 ToControl{ wire::PartSuccess{ std::move(parts) } });
    }
  }

  void Handle(const wire::Message& aMessage)
  {
    const auto* state = std::get_if<wire::QuarantineState>(&aMessage);
    if (state == nullptr) {
      return;
    }
    quarantine::PartLists lists;
    lists.suspects.insert(state->suspects.begin(), state->suspects.end());
    lists.quarantined.insert(state->quarantined.begin(),
                             state->quarantined.end());
    this->reports.Update(lists, this->Time());
    if (lists.quarantined != this->lists.quarantined) {
      net::Log(net::LogLevel::Info,
               "the quarantined prompt parts have changed",
               { { "event", "quarantine_changed" },
                 { "parts", std::to_string(lists.quarantined.size()) } });
    }
    net::Metrics()
      .GetGauge("lycheestand_quarantined_parts")
      .Set(static_cast<std::int64_t>(lists.quarantined.size()));
    this->lists = std::move(lists);
  }

  // A new leader knows neither the crashes nor the quarantine.
  void Resend()
  {
    if (!this->lists.quarantined.empty()) {
      this->send(this->link,
                 ToControl{ wire::QuarantineState{
                   {}, ToVector(this->lists.quarantined) } });
    }
    for (const auto& report : this->reports.Reports()) {
      this->Send(report);
    }
  }

  void Send(const quarantine::CrashReports::Report& aReport)
  {
    auto age = this->Time() - aReport.time;
    this->send(this->link,
               ToControl{ wire::CrashReport{
                 aReport.endpoint,
                 aReport.parts,
                 std::chrono::duration_cast<Milliseconds>(age) } });
  }

  std::string Dump() const
  {
    return "{\"suspects\":" + std::to_string(this->lists.suspects.size()) +
           ",\"quarantined\":" +
           std::to_string(this->lists.quarantined.size()) + "}";
  }

  caf::actor link;
  // The newest lists from control; kept while it is out of contact.
  quarantine::PartLists lists;
  // Parts of the requests that broke off, by the endpoint to which a connection
  // is being opened.
  std::map<EndpointId, std::vector<std::vector<PromptPartId>>> checked;
  quarantine::CrashReports reports;
};

} // namespace

caf::actor
SpawnQuarantineController(const net::Runtime& aRuntime)
{
  return aRuntime.system->spawn<QuarantineController>(aRuntime);
}

} // namespace lycheestand::router
