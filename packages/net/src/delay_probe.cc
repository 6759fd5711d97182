#include <lycheestand/net.h>

namespace lycheestand::net {

namespace {

constexpr Duration kProbeInterval = std::chrono::milliseconds(50);

// Delay at which the process counts as stalled: it was suspended, or its tasks
// get more work than they can do.
constexpr Duration kStallTime = std::chrono::seconds(1);

// Written by the probe and read by any task.
struct Measurement
{
  std::atomic<Duration::rep> lastDelay{ 0 };
  // Time at which the next measurement is due, on the actor system's clock.
  std::atomic<Duration::rep> dueAt{ 0 };
};

// Sends itself a delayed message and measures how late it runs.
class DelayProbeTask : public IoTask
{
public:
  DelayProbeTask(caf::actor_config& aConfig,
                 Runtime aRuntime,
                 std::shared_ptr<Measurement> aMeasurement,
                 DelayObserver aObserver)
    : IoTask(aConfig, aRuntime)
    , measurement(std::move(aMeasurement))
    , observer(std::move(aObserver))
  {
  }

protected:
  void Start() override { this->ScheduleNext(); }

private:
  void ScheduleNext()
  {
    auto due = Now(this->GetRuntime()) + kProbeInterval;
    this->measurement->dueAt = due.time_since_epoch().count();
    this->After(kProbeInterval, [this, due] {
      this->Record(Now(this->GetRuntime()) - due);
      this->ScheduleNext();
    });
  }

  // Without the log line, a machine that was suspended would only show as a gap
  // in the log.
  void Record(Duration aDelay)
  {
    this->measurement->lastDelay = aDelay.count();
    this->histogram.Record(aDelay);
    if (this->observer) {
      this->observer(aDelay);
    }
    if (aDelay >= kStallTime) {
      Log(LogLevel::Warning,
          "the process was stalled",
          { { "event", "stalled" }, { "ms", FormatMilliseconds(aDelay) } });
    }
  }

  std::shared_ptr<Measurement> measurement;
  DelayObserver observer;
  DurationHistogram histogram =
    Metrics().GetHistogram("lycheestand_task_delay_seconds");
};

} // namespace

// A measurement that is overdue tells of a delay before it has run.
DelayProbe
StartDelayProbe(const Runtime& aRuntime, DelayObserver aObserver)
{
  auto measurement = std::make_shared<Measurement>();
  auto delay = [aRuntime, measurement] {
    Duration::rep now = Now(aRuntime).time_since_epoch().count();
    Duration::rep dueAt = measurement->dueAt;
    Duration::rep overdue = dueAt == 0 ? 0 : now - dueAt;
    return Duration(std::max(measurement->lastDelay.load(),
                             std::max<Duration::rep>(overdue, 0)));
  };
  return { aRuntime.system->spawn<DelayProbeTask>(
             aRuntime, measurement, std::move(aObserver)),
           delay };
}

} // namespace lycheestand::net
