// Load generator. By default the load is open-loop: calls start at random times
// with a given mean rate, independently of the completion of earlier calls.
// With --closed a constant number of calls is kept open instead.

#include "report.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/json.hpp>
#include <caf/actor_system_config.hpp>
#include <iostream>
#include <sodium.h>
#include <tclap/CmdLine.h>

namespace lycheestand::bench {

namespace {

struct LoadOptions
{
  std::vector<Address> targets;
  std::string key;
  double callsPerSecond = 10;
  double seconds = 10;
  std::uint64_t seed = 1;
  // Number of calls kept open in a closed loop; 0 for an open loop.
  std::uint64_t concurrency = 0;
};

double
ToMilliseconds(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

// Starts the calls, collects their results, and prints the report at the end.
class LoadTask : public net::IoTask
{
public:
  LoadTask(caf::actor_config& aConfig,
           net::Runtime aRuntime,
           caf::actor aPool,
           LoadOptions aOptions,
           Mix aMix)
    : net::IoTask(aConfig, aRuntime, std::move(aPool))
    , options(std::move(aOptions))
    , mix(std::move(aMix))
    , random(this->options.seed)
    , interArrivalSeconds(this->options.callsPerSecond)
  {
  }

protected:
  void Start() override
  {
    this->startedAt = this->Time();
    this->stopAt =
      this->startedAt + std::chrono::duration_cast<Duration>(
                          std::chrono::duration<double>(this->options.seconds));
    if (this->options.concurrency == 0) {
      this->nextAt = this->startedAt;
      this->StartDueCalls();
      return;
    }
    for (std::uint64_t i = 0; i < this->options.concurrency; ++i) {
      this->StartPlannedCall(this->Time());
    }
  }

private:
  struct Call
  {
    CallKind kind = CallKind::Chat;
    TimePoint plannedAt;
    TimePoint lastChunkAt{};
    unsigned status = 0;
    std::string body;
    net::CallHandle handle;
  };

  TimePoint Time() const { return net::Now(this->GetRuntime()); }

  // Starts all calls that are due, including those missed by a late timer, so
  // that timer delays don't lower the rate.
  void StartDueCalls()
  {
    auto now = this->Time();
    while (this->nextAt <= now && this->nextAt < this->stopAt) {
      this->StartPlannedCall(this->nextAt);
      this->nextAt += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(this->interArrivalSeconds(this->random)));
    }
    if (this->nextAt < this->stopAt) {
      this->After(std::max<Duration>(this->nextAt - now, Duration(1)),
                  [this] { this->StartDueCalls(); });
    } else {
      this->isDone = true;
      this->FinishIfDone();
    }
  }

  void StartPlannedCall(TimePoint aPlannedAt)
  {
    PlannedCall planned = this->mix.Next();
    auto call = std::make_shared<Call>();
    call->kind = planned.kind;
    call->plannedAt = aPlannedAt;
    ++this->ReportFor(*call).offered;
    ++this->open;
    planned.request.headers.emplace_back("Authorization",
                                         "Bearer " + this->options.key);
    const auto& target =
      this->options.targets[this->started++ % this->options.targets.size()];
    call->handle = this->StartCall(
      target,
      std::move(planned.request),
      {},
      { [call](const net::CallHead& aHead) { call->status = aHead.status; },
        [this, call](const std::string& aChunk) {
          this->ReceiveChunk(*call, aChunk);
        },
        [this, call] { this->FinishCall(*call); },
        [this, call](net::CallFailure aFailure, const std::string&) {
          this->CountRefusal(*call, net::ToString(aFailure));
        } });
  }

  KindReport& ReportFor(const Call& aCall)
  {
    return this->report[static_cast<std::size_t>(aCall.kind)];
  }

  void ReceiveChunk(Call& aCall, const std::string& aChunk)
  {
    auto now = this->Time();
    if (aCall.status == 200 && aCall.lastChunkAt == TimePoint{}) {
      this->ReportFor(aCall).firstByteMs.push_back(
        ToMilliseconds(now - aCall.plannedAt));
    } else if (aCall.status == 200) {
      this->ReportFor(aCall).gapsMs.push_back(
        ToMilliseconds(now - aCall.lastChunkAt));
    }
    aCall.lastChunkAt = now;
    // Only the end of a stream is checked later, so the rest is discarded.
    aCall.body += aChunk;
    if (aCall.status == 200 && aCall.body.size() > 4096) {
      aCall.body.erase(0, aCall.body.size() - 1024);
    }
    aCall.handle.Continue();
  }

  void FinishCall(Call& aCall)
  {
    if (aCall.status < 200 || aCall.status > 299) {
      this->CountRefusal(aCall, ReadCode(aCall));
      return;
    }
    bool isStream =
      aCall.kind == CallKind::Chat || aCall.kind == CallKind::Explanation;
    if (isStream && aCall.body.find("data: [DONE]") == std::string::npos) {
      ++this->ReportFor(aCall).truncated;
    } else {
      ++this->ReportFor(aCall).completed;
      this->ReportFor(aCall).totalMs.push_back(
        ToMilliseconds(this->Time() - aCall.plannedAt));
    }
    this->StartNextOrFinish();
  }

  static std::string ReadCode(const Call& aCall)
  {
    boost::json::error_code error;
    auto parsed = boost::json::parse(aCall.body, error);
    const auto* code =
      error ? nullptr : parsed.find_pointer("/error/code", error);
    return code != nullptr && code->is_string()
             ? std::string(code->get_string())
             : std::to_string(aCall.status);
  }

  void CountRefusal(Call& aCall, const std::string& aCode)
  {
    ++this->ReportFor(aCall).refusalsByCode[aCode];
    this->StartNextOrFinish();
  }

  void StartNextOrFinish()
  {
    --this->open;
    if (this->options.concurrency > 0) {
      if (this->Time() < this->stopAt) {
        this->StartPlannedCall(this->Time());
        return;
      }
      this->isDone = true;
    }
    this->FinishIfDone();
  }

  void FinishIfDone()
  {
    if (!this->isDone || this->open > 0) {
      return;
    }
    double seconds =
      std::chrono::duration<double>(this->Time() - this->startedAt).count();
    std::cout << FormatReport(this->report, seconds) << std::endl;
    this->GetRuntime().io->stop();
  }

  LoadOptions options;
  Mix mix;
  std::mt19937_64 random;
  std::exponential_distribution<double> interArrivalSeconds;
  Report report;
  TimePoint startedAt;
  TimePoint stopAt;
  TimePoint nextAt;
  std::uint64_t started = 0;
  std::uint64_t open = 0;
  bool isDone = false;
};

int
Run(const LoadOptions& aOptions, const Mix& aMix)
{
  if (sodium_init() < 0) {
    return 3;
  }
  caf::actor_system_config config;
  config.set("scheduler.policy", caf::atom("sharing"));
  config.set("scheduler.max-threads", std::size_t(2));
  auto* system = new caf::actor_system(config);
  auto* io = new boost::asio::io_context();
  auto guard = boost::asio::make_work_guard(*io);
  net::Runtime runtime{ system, io };
  auto pool = net::SpawnConnectionPool(runtime);
  system->spawn<LoadTask>(runtime, pool, aOptions, aMix);
  io->run();
  std::cout.flush();
  std::_Exit(0);
}

} // namespace

} // namespace lycheestand::bench

int
main(int aCount, char** aArguments)
{
  using namespace lycheestand;
  try {
    TCLAP::CmdLine line("Load generator for a lycheestand fleet");
    TCLAP::MultiArg<std::string> targets(
      "t", "target", "host:port of a router", true, "address", line);
    TCLAP::ValueArg<std::string> key(
      "k", "key", "bearer key", false, "", "key", line);
    TCLAP::ValueArg<std::string> mix("m",
                                     "mix",
                                     "kalkki, cascadia, chat or lookup",
                                     false,
                                     "kalkki",
                                     "mix",
                                     line);
    TCLAP::ValueArg<std::string> model(
      "o", "model", "model name", false, "chat", "name", line);
    TCLAP::ValueArg<std::string> service(
      "s", "service", "service name", false, "booking", "name", line);
    TCLAP::ValueArg<double> rate(
      "r", "rate", "calls per second", false, 10, "rate", line);
    TCLAP::ValueArg<std::uint64_t> concurrency(
      "c",
      "closed",
      "number of calls kept open (closed loop); replaces the rate",
      false,
      0,
      "n",
      line);
    TCLAP::ValueArg<double> seconds(
      "d",
      "seconds",
      "duration in seconds during which calls are started",
      false,
      10,
      "s",
      line);
    TCLAP::ValueArg<std::uint64_t> seed("e",
                                        "seed",
                                        "seed of start times and call contents",
                                        false,
                                        1,
                                        "seed",
                                        line);
    line.parse(aCount, aArguments);
    bench::LoadOptions options;
    for (const auto& target : targets.getValue()) {
      options.targets.push_back(ParseAddress(target).value());
    }
    options.key = key.getValue();
    options.callsPerSecond = rate.getValue();
    options.concurrency = concurrency.getValue();
    options.seconds = seconds.getValue();
    options.seed = seed.getValue();
    return bench::Run(
      options,
      bench::Mix(
        mix.getValue(), model.getValue(), service.getValue(), seed.getValue()));
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << " " << error.argId() << "\n";
    return 2;
  }
}
