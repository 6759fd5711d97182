#ifndef LYCHEESTAND_QUARANTINE_H
#define LYCHEESTAND_QUARANTINE_H

// Finds requests, and parts of prompts, that crash endpoints, so that they are
// no longer forwarded. Nothing here does I/O or reads a clock: callers
// pass the current time, and exchange the lists between processes.

#include <cstddef>
#include <cstdint>
#include <lycheestand/core.h>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lycheestand::quarantine {

using Parts = std::set<PromptPartId>;

// What routers must know.
struct PartLists
{
  // Parts of requests at endpoints that crashed, without a success since then.
  // A router that sees a request with one of them succeed reports it.
  Parts suspects;
  // Requests with one of these are not forwarded.
  Parts quarantined;

  friend bool operator==(const PartLists&, const PartLists&) = default;
};

// Returns those of the parts that the set contains.
std::vector<PromptPartId>
FindParts(const std::vector<PromptPartId>& aParts, const Parts& aSet);

// Thresholds of a CrashTracker.
struct TrackerOptions
{
  // Crashes on a part after which it is quarantined. A request that is tried
  // again at a second endpoint may be there by chance when that one crashes,
  // too.
  std::size_t minCrashes = 3;
  // The same while other parts explain as many crashes. More crashes may tell
  // them apart.
  std::size_t minCrashesIfTied = 5;
  // Crashes within this time count as one: endpoints that crash at the same
  // time may have another cause in common.
  Duration minCrashInterval = std::chrono::milliseconds(100);
  // Reports of one endpoint within this time are of the same crash. They come
  // from several routers; the endpoint may start again under its id.
  Duration reportTime = std::chrono::seconds(1);
  // Time after the first of these crashes is known in which a request with the
  // part could have succeeded elsewhere. Successes are reported only then.
  Duration observationTime = std::chrono::seconds(1);
  // Age at which a crash no longer counts.
  Duration crashLifetime = std::chrono::minutes(1);
  // Time for which a part is quarantined after the last crash on it.
  Duration quarantineTime = std::chrono::minutes(10);
  // Crashes that are kept; the oldest is dropped first.
  std::size_t maxCrashes = 1000;
};

// Relates crashes of endpoints to the parts of the prompts that they worked on.
// A part is suspected if no request with it has succeeded since a crash, and
// quarantined if it explains several crashes. Other parts are not blamed for a
// crash that a quarantined part explains.
class CrashTracker
{
public:
  explicit CrashTracker(TrackerOptions aOptions = {})
    : options(aOptions)
  {
  }

  // An endpoint crashed at aTime while it worked on a request with these parts,
  // in the order of the prompt; that is known since aLearntAt. Called for each
  // such request; the first call determines the times of the crash.
  void AddCrash(const EndpointId& aEndpoint,
                const std::vector<PromptPartId>& aParts,
                TimePoint aTime,
                TimePoint aLearntAt);

  // Requests with these parts have succeeded.
  void AddSuccess(const std::vector<PromptPartId>& aParts, TimePoint aTime);

  // Another tracker has quarantined this part. It stays quarantined here for
  // the whole time.
  void AddQuarantined(PromptPartId aPart, TimePoint aTime);

  // Determines the lists at a time. Returns the parts that are newly
  // quarantined.
  std::vector<PromptPartId> Update(TimePoint aNow);

  const PartLists& Lists() const { return this->lists; }

  // Returns how many crashes a part explains.
  std::size_t CountCrashes(PromptPartId aPart) const;

private:
  struct Crash
  {
    EndpointId endpoint;
    TimePoint time{};
    TimePoint learntAt{};
    // Each part with its position in the prompt.
    std::map<PromptPartId, std::size_t> parts;
  };

  // What the crashes say of one part.
  struct Evidence
  {
    std::size_t crashes = 0;
    // When the first of them became known, and the time of the last.
    TimePoint knownSince{};
    TimePoint last{};
    std::size_t position = 0;
  };
  using EvidenceByPart = std::map<PromptPartId, Evidence>;

  Crash& FindOrAddCrash(const EndpointId& aEndpoint,
                        TimePoint aTime,
                        TimePoint aLearntAt);
  void DropExpired(TimePoint aNow);
  bool IsExplained(const Crash& aCrash) const;
  EvidenceByPart CollectEvidence() const;
  std::optional<PromptPartId> FindCulprit(const EvidenceByPart& aEvidence,
                                          TimePoint aNow) const;

  TrackerOptions options;
  // In the order of their times.
  std::vector<Crash> crashes;
  // When a request with each suspected part last succeeded.
  std::map<PromptPartId, TimePoint> successes;
  // When each quarantine ends.
  std::map<PromptPartId, TimePoint> quarantines;
  PartLists lists;
};

// A router's own observations, to be sent to control, and once more to each new
// leader, which knows none.
class CrashReports
{
public:
  struct Report
  {
    EndpointId endpoint;
    std::vector<PromptPartId> parts;
    TimePoint time{};
  };

  // Adds a report; those older than the lifetime of crashes are dropped.
  void Add(Report aReport);

  // Control's newest lists. Parts that control no longer suspects, though it
  // had time to learn of them, have been cleared, and are dropped from the
  // reports.
  void Update(const PartLists& aLists, TimePoint aNow);

  const std::vector<Report>& Reports() const { return this->reports; }

private:
  std::vector<Report> reports;
};

// What is known of a request that was at endpoints when they crashed. Later
// ones go before earlier ones if there is no room for all.
enum class RequestState : std::uint8_t
{
  // It has not succeeded since a crash.
  Suspected,
  // It is refused until its trial.
  Held,
  // Of the held requests it is the one that may run now.
  OnTrial,
  // Its quarantine has ended, and one more crash renews it.
  OnProbation,
  Quarantined
};

const char*
ToString(RequestState aState);

// What a router does with a request.
enum class RequestVerdict
{
  Accepted,
  // Forwards it, but not to a second endpoint if it may have run at one.
  OneAttempt,
  Held,
  Quarantined
};

RequestVerdict
Judge(std::optional<RequestState> aState);

// A request that is not only suspected.
struct RequestEntry
{
  RequestDigest digest;
  RequestState state = RequestState::Held;
  unsigned crashes = 0;
  // When the state ends.
  TimePoint end{};
  // Time of the latest quarantine.
  Duration length{};

  friend bool operator==(const RequestEntry&, const RequestEntry&) = default;
};

// Returns the state at a time at which the end may have passed.
std::optional<RequestState>
StateAt(const RequestEntry& aEntry, TimePoint aNow);

// What routers must know.
struct RequestLists
{
  // A router that sees one of them succeed reports it.
  std::set<RequestDigest> suspects;
  std::vector<RequestEntry> entries;

  friend bool operator==(const RequestLists&, const RequestLists&) = default;
};

// Numbers of requests that are held, on trial included, and quarantined.
struct RequestCounts
{
  std::size_t held = 0;
  std::size_t quarantined = 0;

  friend bool operator==(const RequestCounts&, const RequestCounts&) = default;
};

RequestCounts
Count(const RequestLists& aLists);

// An endpoint that crashed while it worked on these requests.
struct RequestCrash
{
  EndpointId endpoint;
  TimePoint time{};
  std::vector<RequestDigest> digests;
};

struct ReplacedProcessesOptions
{
  // Time after a broken attempt in which the list may show another process. The
  // list lags.
  Duration watchTime = std::chrono::seconds(10);
  std::size_t maxBroken = 256;
};

// Finds crashes that no refused connection shows, since the endpoint was back
// at once or its machine was silent: the list of endpoints shows another
// process than the one that broke off.
class ReplacedProcesses
{
public:
  struct Process
  {
    EndpointId endpoint;
    Address address;
    StartTime start;

    friend bool operator==(const Process&, const Process&) = default;
  };

  explicit ReplacedProcesses(ReplacedProcessesOptions aOptions = {})
    : options(aOptions)
  {
  }

  // The endpoint is known to have crashed; the list may go on showing the
  // process that has ended.
  void AddCrashed(const EndpointId& aEndpoint);

  // An endpoint broke off while it worked on these requests.
  void AddBroken(RequestCrash aBroken);

  // Replaces the list; returns the broken attempts that were crashes.
  std::vector<RequestCrash> Update(const std::vector<Process>& aProcesses,
                                   TimePoint aNow);

private:
  struct Listed
  {
    Process process;
    bool hasEnded = false;
  };

  struct Broken
  {
    Process process;
    RequestCrash attempt;
  };

  bool IsReplaced(const Process& aProcess,
                  const std::map<Address, EndpointId>& aAtAddress) const;

  ReplacedProcessesOptions options;
  std::map<EndpointId, Listed> processes;
  std::vector<Broken> broken;
};

// Why a request is no longer held or quarantined.
enum class ReleaseReason
{
  Succeeded,
  // All its crashes are also those of a request that is quarantined now.
  Explained,
  // Another request, at more crashes, is held in its place.
  Displaced,
  Expired,
  Lifted
};

const char*
ToString(ReleaseReason aReason);

struct RequestDecision
{
  RequestDigest digest;
  // Held or Quarantined; empty if the request is released.
  std::optional<RequestState> state;
  ReleaseReason reason = ReleaseReason::Succeeded;
  unsigned crashes = 0;
};

// Thresholds of a RequestTracker.
struct RequestTrackerOptions
{
  // A request that is tried again at a second endpoint may be there by chance
  // when that one crashes, too.
  std::size_t crashesToHold = 2;
  std::size_t crashesToQuarantine = 3;
  // Requests that are held at a time.
  std::size_t maxHeld = 4;
  // Reports of one endpoint within this time are of the same crash.
  Duration reportTime = std::chrono::seconds(1);
  // Time after a crash in which several routers report the requests that were
  // at the endpoint.
  Duration settleTime = std::chrono::milliseconds(200);
  // Time without a crash after which a request is no longer held.
  Duration holdTime = std::chrono::minutes(1);
  // Time without a crash after which a suspected request is forgotten.
  Duration crashLifetime = std::chrono::minutes(10);
  // Time without an outcome after which another held request, or another copy,
  // is tried.
  Duration trialTime = std::chrono::seconds(2);
  // The first quarantine ends this long after the last crash; each further one
  // takes twice as long as the one before.
  Duration quarantineTime = std::chrono::minutes(10);
  Duration maxQuarantineTime = std::chrono::hours(24);
  // Time after a quarantine for which the request is remembered.
  Duration probationTime = std::chrono::hours(24);
  std::size_t maxRecords = 4096;
  std::size_t maxCrashesPerDigest = 8;
  // Suspects in the lists; the ones of the latest crashes are kept.
  std::size_t maxSuspects = 256;
};

// Relates crashes of endpoints to requests. The same request is held after two
// crashes and quarantined after the third, unless it has succeeded since. If
// other requests were at the same crashes, it stays held until it has more than
// they have; trials tell them apart.
// Crashes of different endpoints count separately however close they are: the
// copies of one request may run at several endpoints.
class RequestTracker
{
public:
  explicit RequestTracker(RequestTrackerOptions aOptions = {})
    : options(aOptions)
  {
  }

  // An endpoint crashed while it worked on these requests. Several routers may
  // report the same crash.
  void AddCrash(const EndpointId& aEndpoint,
                const std::vector<RequestDigest>& aDigests,
                TimePoint aTime);

  void AddSuccess(RequestDigest aDigest, TimePoint aTime);

  // Another tracker has quarantined a request, now or earlier.
  void AddKnown(const RequestEntry& aEntry);

  // Returns whether a copy of a request may be forwarded now. None may within
  // the time of a trial after another one, so that a trial crashes one endpoint
  // at most.
  bool BeginTrial(RequestDigest aDigest, TimePoint aNow);

  // Forgets a request that is not only suspected; returns whether there is one.
  bool Lift(RequestDigest aDigest);

  // Drops what another tracker does not know although it had this time to learn
  // of it.
  void Retain(const std::set<RequestDigest>& aKnown,
              TimePoint aNow,
              Duration aLearnTime);

  // Ends what has expired, and the trial if it takes too long.
  void Update(TimePoint aNow);

  // Nothing if no crash of the request counts.
  std::optional<RequestState> StateOf(RequestDigest aDigest) const;

  // Time of the last crash that counts.
  std::optional<TimePoint> LastCrash(RequestDigest aDigest) const;

  RequestLists Lists() const;

  // The crashes that count.
  std::vector<RequestCrash> Crashes() const;

  // Returns whether a request has got another state since TakeChange.
  bool HasUrgentChange() const { return this->isUrgent; }

  // Returns whether the lists may have changed since the last call.
  bool TakeChange();

  // Returns the decisions since the last call.
  std::vector<RequestDecision> TakeDecisions();

private:
  struct Crash
  {
    EndpointId endpoint;
    TimePoint time{};
  };

  struct Record
  {
    RequestState state = RequestState::Suspected;
    // The latest crashes that count, and the number of all of them.
    std::vector<Crash> crashes;
    unsigned count = 0;
    TimePoint lastCrash{};
    TimePoint succeededAt{};
    // When the latest trial began.
    TimePoint triedAt{};
    // When a copy was last forwarded for a trial.
    std::optional<TimePoint> forwardedAt;
    // Of a quarantine, or of the probation after it.
    TimePoint end{};
    Duration length{};
  };

  bool IsSame(const Crash& aLeft, const Crash& aRight) const;
  bool AddTo(Record& aRecord, const Crash& aCrash);
  void HandleCrash(RequestDigest aDigest, Record& aRecord);
  void Hold(RequestDigest aDigest, Record& aRecord);
  void Quarantine(RequestDigest aDigest, Record& aRecord, Duration aLength);
  // Returns the undecided requests that may have caused its crashes as well.
  std::vector<const Record*> RivalsOf(RequestDigest aDigest,
                                      const Record& aRecord) const;
  std::size_t CountShared(const Record& aLeft, const Record& aRight) const;
  std::size_t CountHeld() const;
  bool MakePlace(unsigned aCrashes);
  bool IsSettling(const Record& aRecord, TimePoint aNow) const;
  void SettleRivals(TimePoint aNow);
  bool Explains(const Record& aCulprit, const Record& aOther) const;
  void Clear(RequestDigest aDigest, Record& aRecord, ReleaseReason aReason);
  bool IsForgotten(RequestDigest aDigest, Record& aRecord, TimePoint aNow);
  void ChooseTrial(TimePoint aNow);
  Record& FindOrAddRecord(RequestDigest aDigest);
  void DropLeastImportant();
  RequestEntry MakeEntry(RequestDigest aDigest, const Record& aRecord) const;
  void Decide(RequestDecision aDecision);

  RequestTrackerOptions options;
  std::map<RequestDigest, Record> records;
  std::vector<RequestDecision> decisions;
  bool isChanged = false;
  bool isUrgent = false;
  // Something has changed since requests at the same crashes were last told
  // apart, which compares them all.
  bool maySettle = false;
};

} // namespace lycheestand::quarantine

#endif
