#ifndef LYCHEESTAND_QUARANTINE_H
#define LYCHEESTAND_QUARANTINE_H

// Finds parts of prompts that crash endpoints, so that no more requests with
// such a part are forwarded. Nothing here does I/O or reads a clock: callers
// pass the current time, and exchange the lists between processes.

#include <cstddef>
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
  // Time after the first of these crashes in which a request with the part
  // could have succeeded elsewhere.
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
  // in the order of the prompt. Called for each such request; the first call
  // determines the time of the crash.
  void AddCrash(const EndpointId& aEndpoint,
                const std::vector<PromptPartId>& aParts,
                TimePoint aTime);

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
    // Each part with its position in the prompt.
    std::map<PromptPartId, std::size_t> parts;
  };

  // What the crashes say of one part.
  struct Evidence
  {
    std::size_t crashes = 0;
    TimePoint first{};
    TimePoint last{};
    std::size_t position = 0;
  };
  using EvidenceByPart = std::map<PromptPartId, Evidence>;

  Crash& FindOrAddCrash(const EndpointId& aEndpoint, TimePoint aTime);
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

} // namespace lycheestand::quarantine

#endif
