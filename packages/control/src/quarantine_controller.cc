#include "tasks.h"

#include <lycheestand/quarantine.h>
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

// Owns what is known of prompt parts that crash endpoints, while this instance
// is the leader. It is not replicated: routers send their observations to each
// new leader.
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
        this->isLeader = aChanged.isLeader;
        this->tracker = quarantine::CrashTracker();
        this->published = {};
      },
      [this](wire::CrashReport& aReport) {
        this->tracker.AddCrash(
          aReport.endpoint, aReport.parts, this->Time() - aReport.age);
      },
      [this](wire::PartSuccess& aSuccess) {
        this->tracker.AddSuccess(aSuccess.parts, this->Time());
      },
      [this](wire::QuarantineState& aKnown) {
        for (auto part : aKnown.quarantined) {
          this->tracker.AddQuarantined(part, this->Time());
        }
      },
    };
  }

private:
  TimePoint Time() const { return net::Now(this->GetRuntime()); }

  void UpdatePeriodically()
  {
    if (this->isLeader) {
      this->Update();
    }
    this->After(kUpdateInterval, [this] { this->UpdatePeriodically(); });
  }

  void Update()
  {
    for (auto part : this->tracker.Update(this->Time())) {
      net::Log(
        net::LogLevel::Warning,
        "a prompt part crashes endpoints; requests with it are refused",
        { { "event", "part_quarantined" },
          { "part", FormatPart(part) },
          { "crashes", std::to_string(this->tracker.CountCrashes(part)) } });
    }
    const auto& lists = this->tracker.Lists();
    if (lists == this->published) {
      return;
    }
    for (auto part : this->published.quarantined) {
      if (!lists.quarantined.contains(part)) {
        net::Log(
          net::LogLevel::Info,
          "the quarantine of a prompt part has ended",
          { { "event", "part_released" }, { "part", FormatPart(part) } });
      }
    }
    this->published = lists;
    net::Metrics()
      .GetGauge("lycheestand_quarantined_parts")
      .Set(static_cast<std::int64_t>(lists.quarantined.size()));
    this->send(this->fleet,
               QuarantineChanged{
                 { ToVector(lists.suspects), ToVector(lists.quarantined) } });
  }

  caf::actor fleet;
  bool isLeader = false;
  quarantine::CrashTracker tracker;
  quarantine::PartLists published;
};

} // namespace

caf::actor
SpawnQuarantineController(const net::Runtime& aRuntime, caf::actor aFleet)
{
  return aRuntime.system->spawn<QuarantineController>(aRuntime,
                                                      std::move(aFleet));
}

} // namespace lycheestand::control
