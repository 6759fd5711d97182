#include "controllers.h"

#include <lycheestand/quarantine_codec.h>

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

// A process that ends may close its connections before its listener. Meanwhile
// a connection opens or is reset, and is tried again after this time.
constexpr Duration kCheckInterval = std::chrono::milliseconds(50);
constexpr int kMaxChecks = 3;

constexpr Duration kUpdateInterval = std::chrono::milliseconds(250);

// Time in which control learns of a crash, or from a new link of all that this
// router knows.
constexpr Duration kLearnTime = std::chrono::seconds(2);

// Longest wait for control to decide on a copy of a request on trial.
constexpr Duration kTrialReplyTimeout = std::chrono::milliseconds(500);

// Tells crashes of endpoints from single broken connections, and exchanges
// observations and lists with control. Without contact with control, what this
// router observes decides alone.
class QuarantineController : public net::IoTask
{
public:
  QuarantineController(caf::actor_config& aConfig, net::Runtime aRuntime)
    : net::IoTask(aConfig, aRuntime)
  {
  }

protected:
  void Start() override { this->UpdatePeriodically(); }

  caf::message_handler Handlers() override
  {
    return {
      [this](CrashSuspected& aSuspected) {
        this->CheckEndpoint(std::move(aSuspected));
      },
      [this](RequestSucceeded& aSucceeded) { this->ReportSuccess(aSucceeded); },
      [this](CheckRequest& aCheck) { return this->HandleCheck(aCheck); },
      [this](FromControl& aMessage) { this->Handle(aMessage.message); },
      [this](ViewChanged& aChanged) { this->HandleView(*aChanged.view); },
      [this](ControlUp) {
        this->contactSince = this->Time();
        this->Resend();
      },
      [this](ControlDown) {
        this->contactSince.reset();
        this->SetTrialSource(false);
      },
      [this](TrialSourceChanged aChanged) {
        this->SetTrialSource(aChanged.isControl);
      },
      [this](caf::actor& aLink) { this->link = aLink; },
      [this](DumpState) { return this->Dump(); },
    };
  }

private:
  TimePoint Time() const { return net::Now(this->GetRuntime()); }

  caf::result<CheckRequestReply> HandleCheck(const CheckRequest& aCheck)
  {
    auto reply = this->Check(aCheck);
    bool isTrial = aCheck.isForwarding && !reply.hasQuarantinedPart &&
                   reply.verdict == quarantine::RequestVerdict::OneAttempt;
    if (!isTrial) {
      return reply;
    }
    if (!this->controlGrantsTrials) {
      return this->MakeTrialReply(
        this->observed.BeginTrial(aCheck.digest, this->Time()));
    }
    return this->RequestTrial(aCheck.digest);
  }

  static CheckRequestReply MakeTrialReply(bool aIsGranted)
  {
    return { false,
             aIsGranted ? quarantine::RequestVerdict::OneAttempt
                        : quarantine::RequestVerdict::Held };
  }

  // Of the copies that wait for control's reply, only the first could be
  // forwarded.
  caf::result<CheckRequestReply> RequestTrial(RequestDigest aDigest)
  {
    if (this->trialRequests.contains(aDigest)) {
      return this->MakeTrialReply(false);
    }
    auto promise = this->make_response_promise();
    const auto number = ++this->lastTrialRequest;
    this->trialRequests.emplace(aDigest, TrialRequest{ promise, number });
    this->send(this->link, ToControl{ wire::TrialRequest{ aDigest } });
    this->After(kTrialReplyTimeout, [this, aDigest, number] {
      auto found = this->trialRequests.find(aDigest);
      if (found != this->trialRequests.end() &&
          found->second.number == number) {
        this->FinishTrialRequest(aDigest, false);
      }
    });
    return promise;
  }

  void FinishTrialRequest(RequestDigest aDigest, bool aIsGranted)
  {
    auto found = this->trialRequests.extract(aDigest);
    if (!found.empty()) {
      found.mapped().promise.deliver(this->MakeTrialReply(aIsGranted));
    }
  }

  void SetTrialSource(bool aIsControl)
  {
    this->controlGrantsTrials = aIsControl;
    while (!aIsControl && !this->trialRequests.empty()) {
      this->FinishTrialRequest(this->trialRequests.begin()->first, false);
    }
  }

  CheckRequestReply Check(const CheckRequest& aCheck) const
  {
    return {
      !quarantine::FindParts(aCheck.parts, this->parts.quarantined).empty(),
      this->JudgeRequest(aCheck.digest)
    };
  }

  // Control knows the crashes that all routers have seen, and which request is
  // on trial. This router may have seen only some of the requests at the
  // endpoints that crashed, so in contact with control its own judgment counts
  // only until control has learnt of the crashes.
  quarantine::RequestVerdict JudgeRequest(RequestDigest aDigest) const
  {
    auto own = quarantine::Judge(this->observed.StateOf(aDigest));
    auto found = this->told.find(aDigest);
    bool isTold = found != this->told.end();
    auto told =
      isTold
        ? quarantine::Judge(quarantine::StateAt(found->second, this->Time()))
        : quarantine::RequestVerdict::Accepted;
    if (!this->contactSince) {
      return std::max(own, told);
    }
    bool mayDiffer = !isTold || own == quarantine::RequestVerdict::Quarantined;
    return mayDiffer && this->IsNews(aDigest) ? std::max(own, told) : told;
  }

  // Returns whether control, with which this router is in contact, may not have
  // learnt yet what it has seen of a request.
  bool IsNews(RequestDigest aDigest) const
  {
    auto crash = this->observed.LastCrash(aDigest);
    return crash &&
           this->Time() - std::max(*crash, *this->contactSince) < kLearnTime;
  }

  // All requests at an endpoint end at the moment of its crash, and one
  // connection tells for all of them.
  void CheckEndpoint(CrashSuspected aSuspected)
  {
    auto [found, isNew] = this->checked.try_emplace(aSuspected.endpoint);
    EndpointId endpoint = aSuspected.endpoint;
    Address address = aSuspected.address;
    found->second.push_back(std::move(aSuspected));
    if (isNew) {
      this->TryEndpoint(endpoint, address, kMaxChecks);
    }
  }

  void TryEndpoint(const EndpointId& aEndpoint,
                   const Address& aAddress,
                   int aChecks)
  {
    this->TryConnect(
      aAddress,
      kCrashCheckTimeout,
      [this, aEndpoint, aAddress, aChecks](net::ConnectResult aResult) {
        if (aResult == net::ConnectResult::Refused || aChecks <= 1) {
          this->FinishCheck(aEndpoint, aResult);
          return;
        }
        this->After(kCheckInterval, [this, aEndpoint, aAddress, aChecks] {
          this->TryEndpoint(aEndpoint, aAddress, aChecks - 1);
        });
      });
  }

  void FinishCheck(const EndpointId& aEndpoint, net::ConnectResult aResult)
  {
    auto requests = std::move(this->checked.extract(aEndpoint).mapped());
    quarantine::RequestCrash attempt{ aEndpoint, this->Time(), {} };
    for (const auto& request : requests) {
      attempt.digests.push_back(request.digest);
    }
    if (aResult != net::ConnectResult::Refused) {
      this->replaced.AddBroken(std::move(attempt));
      return;
    }
    this->replaced.AddCrashed(aEndpoint);
    this->ReportCrash(attempt, "refused");
    for (auto& request : requests) {
      if (!request.parts.empty()) {
        quarantine::CrashReports::Report report{ aEndpoint,
                                                 std::move(request.parts),
                                                 attempt.time };
        this->Send(report);
        this->reports.Add(std::move(report));
      }
    }
  }

  void ReportCrash(const quarantine::RequestCrash& aCrash, const char* aSign)
  {
    net::Log(net::LogLevel::Warning,
             "an endpoint has crashed",
             { { "event", "endpoint_crashed" },
               { "endpoint", aCrash.endpoint.Get() },
               { "requests", std::to_string(aCrash.digests.size()) },
               { "sign", aSign } });
    net::Metrics().GetCounter("lycheestand_endpoint_crashes_total").Add();
    this->Send(aCrash);
    this->observed.AddCrash(aCrash.endpoint, aCrash.digests, aCrash.time);
    this->ReportCounts();
  }

  void HandleView(const membership::View& aView)
  {
    std::vector<quarantine::ReplacedProcesses::Process> processes;
    for (const auto& entry : aView.Endpoints()) {
      processes.push_back({ entry.endpoint, entry.address, entry.startTime });
    }
    for (const auto& crash : this->replaced.Update(processes, this->Time())) {
      this->ReportCrash(crash, "replaced");
    }
  }

  // The lists change when control has counted the success; until then each
  // request reports it once more.
  void ReportSuccess(const RequestSucceeded& aSucceeded)
  {
    wire::PartSuccess success;
    success.parts =
      quarantine::FindParts(aSucceeded.parts, this->parts.suspects);
    const auto digest = aSucceeded.digest;
    if (this->suspects.contains(digest) || this->told.contains(digest) ||
        this->observed.StateOf(digest)) {
      success.digests.push_back(digest);
      this->observed.AddSuccess(digest, this->Time());
    }
    if (!success.parts.empty() || !success.digests.empty()) {
      this->send(this->link, ToControl{ std::move(success) });
    }
  }

  void Handle(const wire::Message& aMessage)
  {
    if (const auto* reply = std::get_if<wire::TrialReply>(&aMessage)) {
      this->FinishTrialRequest(reply->digest, reply->granted);
      return;
    }
    const auto* state = std::get_if<wire::QuarantineState>(&aMessage);
    if (state == nullptr) {
      return;
    }
    this->parts.suspects = { state->suspects.begin(), state->suspects.end() };
    this->parts.quarantined = { state->quarantined.begin(),
                                state->quarantined.end() };
    this->reports.Update(this->parts, this->Time());
    auto lists = quarantine_codec::ReadLists(*state, this->Time());
    this->suspects = std::move(lists.suspects);
    this->told.clear();
    for (const auto& entry : lists.entries) {
      this->told.emplace(entry.digest, entry);
    }
    this->ReportCounts();
  }

  void UpdatePeriodically()
  {
    this->observed.Update(this->Time());
    this->observed.TakeDecisions();
    this->DropCleared();
    this->ReportCounts();
    this->After(kUpdateInterval, [this] { this->UpdatePeriodically(); });
  }

  // Control has cleared what it does not list although it had time to learn of
  // it.
  void DropCleared()
  {
    if (!this->contactSince ||
        this->Time() - *this->contactSince < kLearnTime) {
      return;
    }
    auto known = this->suspects;
    for (const auto& [digest, entry] : this->told) {
      known.insert(digest);
    }
    this->observed.Retain(known, this->Time(), kLearnTime);
  }

  struct Counts
  {
    std::size_t parts = 0;
    quarantine::RequestCounts told;
    quarantine::RequestCounts observed;

    friend bool operator==(const Counts&, const Counts&) = default;
  };

  quarantine::RequestLists ToldLists() const
  {
    quarantine::RequestLists lists;
    for (const auto& [digest, entry] : this->told) {
      lists.entries.push_back(entry);
    }
    return lists;
  }

  void ReportCounts()
  {
    Counts counts{ this->parts.quarantined.size(),
                   quarantine::Count(this->ToldLists()),
                   quarantine::Count(this->observed.Lists()) };
    this->SetGauges(counts);
    if (counts == this->reported) {
      return;
    }
    this->reported = counts;
    auto text = [](std::size_t aNumber) { return std::to_string(aNumber); };
    net::Log(net::LogLevel::Info,
             "what is quarantined has changed",
             { { "event", "quarantine_changed" },
               { "parts", text(counts.parts) },
               { "held", text(counts.told.held) },
               { "requests", text(counts.told.quarantined) },
               { "own_held", text(counts.observed.held) },
               { "own_requests", text(counts.observed.quarantined) } });
  }

  // What this router has seen itself is refused only without contact with
  // control.
  void SetGauges(const Counts& aCounts) const
  {
    auto own =
      this->contactSince ? quarantine::RequestCounts{} : aCounts.observed;
    auto set = [](const char* aName, std::size_t aNumber) {
      net::Metrics().GetGauge(aName).Set(static_cast<std::int64_t>(aNumber));
    };
    set("lycheestand_quarantined_parts", aCounts.parts);
    set("lycheestand_held_requests", std::max(aCounts.told.held, own.held));
    set("lycheestand_quarantined_requests",
        std::max(aCounts.told.quarantined, own.quarantined));
  }

  // A new leader knows neither the crashes nor the quarantine. It judges the
  // crashes itself, together with those that other routers have seen.
  void Resend()
  {
    wire::QuarantineState state;
    state.quarantined = ToVector(this->parts.quarantined);
    auto known = this->ToldLists();
    std::erase_if(known.entries, [now = this->Time()](const auto& aEntry) {
      return aEntry.end <= now;
    });
    quarantine_codec::WriteLists(known, this->Time(), state);
    if (!state.quarantined.empty() || !state.requests.empty()) {
      this->send(this->link, ToControl{ std::move(state) });
    }
    for (const auto& report : this->reports.Reports()) {
      this->Send(report);
    }
    for (const auto& crash : this->observed.Crashes()) {
      this->Send(crash);
    }
  }

  Milliseconds AgeOf(TimePoint aTime) const
  {
    return std::chrono::duration_cast<Milliseconds>(this->Time() - aTime);
  }

  void Send(const quarantine::CrashReports::Report& aReport)
  {
    this->send(
      this->link,
      ToControl{ wire::CrashReport{
        aReport.endpoint, aReport.parts, this->AgeOf(aReport.time), {} } });
  }

  void Send(const quarantine::RequestCrash& aCrash)
  {
    this->send(
      this->link,
      ToControl{ wire::CrashReport{
        aCrash.endpoint, {}, this->AgeOf(aCrash.time), aCrash.digests } });
  }

  std::string Dump() const
  {
    auto field = [](const char* aName, std::size_t aNumber) {
      return ",\"" + std::string(aName) + "\":" + std::to_string(aNumber);
    };
    return "{\"suspects\":" + std::to_string(this->parts.suspects.size()) +
           field("quarantined", this->parts.quarantined.size()) +
           field("suspect_requests", this->suspects.size()) +
           field("held_requests", this->reported.told.held) +
           field("quarantined_requests", this->reported.told.quarantined) +
           field("own_held_requests", this->reported.observed.held) +
           field("own_quarantined_requests",
                 this->reported.observed.quarantined) +
           "}";
  }

  // A copy of a request on trial that waits for control to decide on it.
  struct TrialRequest
  {
    caf::response_promise promise;
    std::uint64_t number = 0;
  };

  caf::actor link;
  // False without contact, and with control of an earlier version.
  bool controlGrantsTrials = false;
  std::map<RequestDigest, TrialRequest> trialRequests;
  std::uint64_t lastTrialRequest = 0;
  // When the link to control was opened; empty without one.
  std::optional<TimePoint> contactSince;
  // The newest lists from control; kept while it is out of contact.
  quarantine::PartLists parts;
  std::set<RequestDigest> suspects;
  std::map<RequestDigest, quarantine::RequestEntry> told;
  // The requests that broke off, by the endpoint to which a connection is being
  // opened.
  std::map<EndpointId, std::vector<CrashSuspected>> checked;
  // What this router has seen itself.
  quarantine::CrashReports reports;
  quarantine::RequestTracker observed;
  quarantine::ReplacedProcesses replaced;
  Counts reported;
};

} // namespace

caf::actor
SpawnQuarantineController(const net::Runtime& aRuntime)
{
  return aRuntime.system->spawn<QuarantineController>(aRuntime);
}

} // namespace lycheestand::router
