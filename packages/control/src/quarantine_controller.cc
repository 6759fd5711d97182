#include "tasks.h"

#include <boost/json.hpp>
#include <lycheestand/quarantine_codec.h>
#include <sstream>

namespace lycheestand::control {

namespace {

// Interval at which the lists are determined anew; observations in between are
// combined into one push.
constexpr Duration kUpdateInterval = std::chrono::milliseconds(100);

std::string
FormatPart(PromptPartId aPart)
{
  std::ostringstream out;
  out << std::hex << aPart.Get();
  return out.str();
}

std::vector<PromptPartId>
ToVector(const quarantine::Parts& aParts)
{
  return { aParts.begin(), aParts.end() };
}

void
LogDecision(const quarantine::RequestDecision& aDecision)
{
  bool isQuarantined = aDecision.state == quarantine::RequestState::Quarantined;
  net::LogFields fields{ { "digest", ToString(aDecision.digest) },
                         { "crashes", std::to_string(aDecision.crashes) } };
  if (!aDecision.state) {
    fields.emplace_back("event", "request_released");
    fields.emplace_back("reason", quarantine::ToString(aDecision.reason));
    net::Log(net::LogLevel::Info, "a request is no longer refused", fields);
    return;
  }
  fields.emplace_back("event",
                      isQuarantined ? "request_quarantined" : "request_held");
  net::Log(net::LogLevel::Warning,
           isQuarantined
             ? "a request crashes endpoints; it is refused"
             : "a request may crash endpoints; it is tried by itself",
           fields);
}

// Owns what is known of requests and prompt parts that crash endpoints, while
// this instance is the leader. It is not replicated: routers send their
// observations to each new leader.
class QuarantineController : public net::IoTask
{
public:
  QuarantineController(caf::actor_config& aConfig,
                       net::Runtime aRuntime,
                       caf::actor aFleet)
    : net::IoTask(aConfig, aRuntime)
    , fleet(std::move(aFleet))
  {
  }

protected:
  void Start() override { this->UpdatePeriodically(); }

  caf::message_handler Handlers() override
  {
    return {
      [this](LeadershipChanged& aChanged) {
        this->HandleLeadershipChanged(aChanged);
      },
      [this](wire::CrashReport& aReport) { this->HandleCrash(aReport); },
      [this](wire::PartSuccess& aSuccess) { this->HandleSuccess(aSuccess); },
      [this](wire::QuarantineState& aKnown) { this->HandleKnown(aKnown); },
      [this](RequestTrial& aRequest) { this->HandleTrial(aRequest); },
      [this](ListQuarantine) { return this->FormatRequests(); },
      [this](LiftQuarantine& aLift) {
        bool isLifted = this->requests.Lift(aLift.digest);
        this->PublishIfUrgent();
        return isLifted;
      },
    };
  }

private:
  TimePoint Time() const { return net::Now(this->GetRuntime()); }

  void HandleLeadershipChanged(const LeadershipChanged& aChanged)
  {
    this->isLeader = aChanged.isLeader;
    this->parts = quarantine::CrashTracker();
    this->publishedParts = {};
    this->requests = quarantine::RequestTracker();
    this->publishedRequests = {};
  }

  void HandleCrash(const wire::CrashReport& aReport)
  {
    TimePoint time = this->Time() - aReport.age;
    if (!aReport.parts.empty()) {
      this->parts.AddCrash(aReport.endpoint, aReport.parts, time, this->Time());
    }
    this->requests.AddCrash(aReport.endpoint, aReport.digests, time);
    this->PublishIfUrgent();
  }

  void HandleSuccess(const wire::PartSuccess& aSuccess)
  {
    this->parts.AddSuccess(aSuccess.parts, this->Time());
    for (auto digest : aSuccess.digests) {
      this->requests.AddSuccess(digest, this->Time());
    }
    this->PublishIfUrgent();
  }

  void HandleKnown(const wire::QuarantineState& aKnown)
  {
    for (auto part : aKnown.quarantined) {
      this->parts.AddQuarantined(part, this->Time());
    }
    auto known = quarantine_codec::ReadLists(aKnown, this->Time());
    for (const auto& entry : known.entries) {
      this->requests.AddKnown(entry);
    }
    this->PublishIfUrgent();
  }

  // Copies of a request may arrive at several routers at the same moment; one
  // of them runs.
  void HandleTrial(const RequestTrial& aRequest)
  {
    const auto digest = aRequest.request.digest;
    bool isGranted =
      this->isLeader && this->requests.BeginTrial(digest, this->Time());
    if (isGranted) {
      net::Log(
        net::LogLevel::Info,
        "a router forwards a copy of a request on trial",
        { { "event", "request_tried" }, { "digest", ToString(digest) } });
    }
    this->send(
      this->fleet,
      SendToRouter{ aRequest.link, wire::TrialReply{ digest, isGranted } });
  }

  // The next copy of a request may arrive at another router some milliseconds
  // after a crash.
  void PublishIfUrgent()
  {
    if (this->isLeader && this->requests.HasUrgentChange()) {
      this->Update();
    }
  }

  void UpdatePeriodically()
  {
    if (this->isLeader) {
      this->Update();
    }
    this->After(kUpdateInterval, [this] { this->UpdatePeriodically(); });
  }

  void Update()
  {
    bool haveChanged = this->UpdateParts();
    haveChanged |= this->UpdateRequests();
    if (!haveChanged) {
      return;
    }
    wire::QuarantineState state{ ToVector(this->publishedParts.suspects),
                                 ToVector(this->publishedParts.quarantined) };
    quarantine_codec::WriteLists(this->publishedRequests, this->Time(), state);
    this->send(this->fleet, QuarantineChanged{ std::move(state) });
  }

  // Returns whether routers must know other parts.
  bool UpdateParts()
  {
    for (auto part : this->parts.Update(this->Time())) {
      net::Log(
        net::LogLevel::Warning,
        "a prompt part crashes endpoints; requests with it are refused",
        { { "event", "part_quarantined" },
          { "part", FormatPart(part) },
          { "crashes", std::to_string(this->parts.CountCrashes(part)) } });
    }
    const auto& lists = this->parts.Lists();
    if (lists == this->publishedParts) {
      return false;
    }
    for (auto part : this->publishedParts.quarantined) {
      if (!lists.quarantined.contains(part)) {
        net::Log(
          net::LogLevel::Info,
          "the quarantine of a prompt part has ended",
          { { "event", "part_released" }, { "part", FormatPart(part) } });
      }
    }
    this->publishedParts = lists;
    net::Metrics()
      .GetGauge("lycheestand_quarantined_parts")
      .Set(static_cast<std::int64_t>(lists.quarantined.size()));
    return true;
  }

  // Returns whether routers must know other requests.
  bool UpdateRequests()
  {
    this->requests.Update(this->Time());
    for (const auto& decision : this->requests.TakeDecisions()) {
      LogDecision(decision);
    }
    if (!this->requests.TakeChange()) {
      return false;
    }
    auto lists = this->requests.Lists();
    bool haveChanged = lists != this->publishedRequests;
    this->publishedRequests = std::move(lists);
    auto count = quarantine::Count(this->publishedRequests);
    net::Metrics()
      .GetGauge("lycheestand_held_requests")
      .Set(static_cast<std::int64_t>(count.held));
    net::Metrics()
      .GetGauge("lycheestand_quarantined_requests")
      .Set(static_cast<std::int64_t>(count.quarantined));
    return haveChanged;
  }

  std::string FormatRequests() const
  {
    boost::json::array out;
    for (const auto& entry : this->requests.Lists().entries) {
      auto remaining =
        std::chrono::ceil<std::chrono::seconds>(entry.end - this->Time());
      out.push_back({ { "digest", ToString(entry.digest) },
                      { "state", quarantine::ToString(entry.state) },
                      { "crashes", entry.crashes },
                      { "remaining_s", remaining.count() } });
    }
    return boost::json::serialize(out);
  }

  caf::actor fleet;
  bool isLeader = false;
  quarantine::CrashTracker parts;
  quarantine::PartLists publishedParts;
  quarantine::RequestTracker requests;
  quarantine::RequestLists publishedRequests;
};

} // namespace

caf::actor
SpawnQuarantineController(const net::Runtime& aRuntime, caf::actor aFleet)
{
  return aRuntime.system->spawn<QuarantineController>(aRuntime,
                                                      std::move(aFleet));
}

} // namespace lycheestand::control
