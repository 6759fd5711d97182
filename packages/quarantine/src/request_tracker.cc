#include <algorithm>
#include <lycheestand/quarantine.h>
#include <utility>

namespace lycheestand::quarantine {

const char*
ToString(RequestState aState)
{
  switch (aState) {
    case RequestState::Suspected:
      return "suspected";
    case RequestState::Held:
      return "held";
    case RequestState::OnTrial:
      return "on_trial";
    case RequestState::OnProbation:
      return "on_probation";
    case RequestState::Quarantined:
      return "quarantined";
  }
  return "";
}

const char*
ToString(ReleaseReason aReason)
{
  switch (aReason) {
    case ReleaseReason::Succeeded:
      return "succeeded";
    case ReleaseReason::Explained:
      return "explained";
    case ReleaseReason::Displaced:
      return "displaced";
    case ReleaseReason::Expired:
      return "expired";
    case ReleaseReason::Lifted:
      return "lifted";
  }
  return "";
}

std::optional<RequestState>
StateAt(const RequestEntry& aEntry, TimePoint aNow)
{
  if (aNow < aEntry.end) {
    return aEntry.state;
  }
  return aEntry.state == RequestState::Quarantined
           ? std::optional(RequestState::OnProbation)
           : std::nullopt;
}

RequestVerdict
Judge(std::optional<RequestState> aState)
{
  if (!aState) {
    return RequestVerdict::Accepted;
  }
  switch (*aState) {
    case RequestState::Held:
      return RequestVerdict::Held;
    case RequestState::OnTrial:
    case RequestState::OnProbation:
      return RequestVerdict::OneAttempt;
    case RequestState::Quarantined:
      return RequestVerdict::Quarantined;
    case RequestState::Suspected:
      break;
  }
  return RequestVerdict::Accepted;
}

RequestCounts
Count(const RequestLists& aLists)
{
  RequestCounts counts;
  for (const auto& entry : aLists.entries) {
    counts.held +=
      entry.state == RequestState::Held || entry.state == RequestState::OnTrial;
    counts.quarantined += entry.state == RequestState::Quarantined;
  }
  return counts;
}

bool
RequestTracker::IsSame(const Crash& aLeft, const Crash& aRight) const
{
  auto apart = std::chrono::abs(aLeft.time - aRight.time);
  return aLeft.endpoint == aRight.endpoint && apart < this->options.reportTime;
}

void
RequestTracker::AddCrash(const EndpointId& aEndpoint,
                         const std::vector<RequestDigest>& aDigests,
                         TimePoint aTime)
{
  const Crash crash{ aEndpoint, aTime };
  for (auto digest : aDigests) {
    Record& record = this->FindOrAddRecord(digest);
    if (aTime > record.succeededAt && this->AddTo(record, crash)) {
      this->HandleCrash(digest, record);
    }
  }
  if (this->isUrgent) {
    this->ChooseTrial(aTime);
  }
}

// Returns false if the crash is known.
bool
RequestTracker::AddTo(Record& aRecord, const Crash& aCrash)
{
  bool isKnown = std::any_of(
    aRecord.crashes.begin(), aRecord.crashes.end(), [&](const Crash& aOther) {
      return this->IsSame(aOther, aCrash);
    });
  if (isKnown) {
    return false;
  }
  if (aRecord.crashes.size() >= this->options.maxCrashesPerDigest) {
    aRecord.crashes.erase(aRecord.crashes.begin());
  }
  aRecord.crashes.push_back(aCrash);
  ++aRecord.count;
  aRecord.lastCrash = std::max(aRecord.lastCrash, aCrash.time);
  this->isChanged = true;
  this->maySettle = true;
  return true;
}

void
RequestTracker::HandleCrash(RequestDigest aDigest, Record& aRecord)
{
  switch (aRecord.state) {
    case RequestState::Quarantined:
      aRecord.end = std::max(aRecord.end, aRecord.lastCrash + aRecord.length);
      this->isUrgent = true;
      return;
    case RequestState::OnProbation:
      this->Quarantine(
        aDigest,
        aRecord,
        std::min(2 * aRecord.length, this->options.maxQuarantineTime));
      return;
    case RequestState::Suspected:
    case RequestState::Held:
    case RequestState::OnTrial:
      break;
  }
  bool isDue = aRecord.count >= this->options.crashesToQuarantine;
  if (isDue && this->RivalsOf(aDigest, aRecord).empty()) {
    this->Quarantine(aDigest, aRecord, this->options.quarantineTime);
  } else if (aRecord.crashes.size() >= this->options.crashesToHold) {
    this->Hold(aDigest, aRecord);
  }
}

// A report that arrives after the quarantine of the request that caused the
// crashes holds nothing. An endpoint may run a hundred requests; if many of
// them were at the same crashes, holding them all would refuse sound ones for
// long and keep the parts of their prompts from being cleared.
void
RequestTracker::Hold(RequestDigest aDigest, Record& aRecord)
{
  bool isExplained = std::any_of(
    this->records.begin(), this->records.end(), [&](const auto& aOther) {
      return aOther.second.state == RequestState::Quarantined &&
             this->Explains(aOther.second, aRecord);
    });
  if (isExplained) {
    this->Clear(aDigest, aRecord, ReleaseReason::Explained);
  } else if (aRecord.state == RequestState::Suspected) {
    if (!this->MakePlace(aRecord.count)) {
      return;
    }
    aRecord.state = RequestState::Held;
    this->Decide({ aDigest, RequestState::Held, {}, aRecord.count });
  } else if (aRecord.state == RequestState::OnTrial) {
    aRecord.state = RequestState::Held;
    this->isUrgent = true;
  }
}

// Returns whether one more request, at so many crashes, may be held. If none
// may, the one at the fewest crashes is no longer held if it has fewer.
bool
RequestTracker::MakePlace(unsigned aCrashes)
{
  if (this->CountHeld() < this->options.maxHeld) {
    return true;
  }
  RequestDigest digest{ 0 };
  Record* least = nullptr;
  for (auto& [other, record] : this->records) {
    bool isLess = record.state == RequestState::Held &&
                  (least == nullptr || record.count < least->count);
    if (isLess) {
      digest = other;
      least = &record;
    }
  }
  if (least == nullptr || least->count >= aCrashes) {
    return false;
  }
  least->state = RequestState::Suspected;
  this->Decide({ digest, {}, ReleaseReason::Displaced, least->count });
  return true;
}

std::size_t
RequestTracker::CountHeld() const
{
  return static_cast<std::size_t>(std::count_if(
    this->records.begin(), this->records.end(), [](const auto& aEntry) {
      return aEntry.second.state == RequestState::Held ||
             aEntry.second.state == RequestState::OnTrial;
    }));
}

// A sound request that is sent again at once may follow the deadly one from
// endpoint to endpoint, and its reports may come first.
std::vector<const RequestTracker::Record*>
RequestTracker::RivalsOf(RequestDigest aDigest, const Record& aRecord) const
{
  std::vector<const Record*> rivals;
  for (const auto& [digest, other] : this->records) {
    bool isOpen = other.state != RequestState::Quarantined &&
                  other.state != RequestState::OnProbation;
    if (digest != aDigest && isOpen &&
        this->CountShared(aRecord, other) >= this->options.crashesToHold) {
      rivals.push_back(&other);
    }
  }
  return rivals;
}

std::size_t
RequestTracker::CountShared(const Record& aLeft, const Record& aRight) const
{
  return static_cast<std::size_t>(std::count_if(
    aLeft.crashes.begin(), aLeft.crashes.end(), [&](const Crash& aCrash) {
      return std::any_of(
        aRight.crashes.begin(), aRight.crashes.end(), [&](const Crash& aOther) {
          return this->IsSame(aOther, aCrash);
        });
    }));
}

bool
RequestTracker::IsSettling(const Record& aRecord, TimePoint aNow) const
{
  return aRecord.count >= this->options.crashesToQuarantine &&
         aNow - aRecord.lastCrash < this->options.settleTime;
}

// Of requests that were at the same crashes, their trials decide: a success
// clears one, and a further crash is its own. A report may be missing, so one
// crash more among the first three tells nothing.
void
RequestTracker::SettleRivals(TimePoint aNow)
{
  if (!std::exchange(this->maySettle, false)) {
    return;
  }
  for (auto& [digest, record] : this->records) {
    bool isOpen = record.state != RequestState::Quarantined &&
                  record.state != RequestState::OnProbation;
    if (isOpen && this->IsSettling(record, aNow)) {
      this->maySettle = true;
      continue;
    }
    if (!isOpen || record.count < this->options.crashesToQuarantine) {
      continue;
    }
    auto rivals = this->RivalsOf(digest, record);
    bool hasMost = std::all_of(
      rivals.begin(), rivals.end(), [&record = record](const Record* aRival) {
        return aRival->count < record.count;
      });
    bool hasFailedTrial = record.count > this->options.crashesToQuarantine;
    if (rivals.empty() || (hasMost && hasFailedTrial)) {
      this->Quarantine(digest, record, this->options.quarantineTime);
    }
  }
}

void
RequestTracker::Quarantine(RequestDigest aDigest,
                           Record& aRecord,
                           Duration aLength)
{
  aRecord.state = RequestState::Quarantined;
  this->maySettle = true;
  aRecord.length = aLength;
  aRecord.end = aRecord.lastCrash + aLength;
  this->Decide({ aDigest, RequestState::Quarantined, {}, aRecord.count });
  for (auto& [digest, other] : this->records) {
    bool isHeld =
      other.state == RequestState::Held || other.state == RequestState::OnTrial;
    if (isHeld && this->Explains(aRecord, other)) {
      this->Clear(digest, other, ReleaseReason::Explained);
    }
  }
}

// Returns whether one request was at all endpoints that crashed under another.
bool
RequestTracker::Explains(const Record& aCulprit, const Record& aOther) const
{
  return std::all_of(
    aOther.crashes.begin(), aOther.crashes.end(), [&](const Crash& aCrash) {
      return std::any_of(
        aCulprit.crashes.begin(),
        aCulprit.crashes.end(),
        [&](const Crash& aOwn) { return this->IsSame(aOwn, aCrash); });
    });
}

void
RequestTracker::AddSuccess(RequestDigest aDigest, TimePoint aTime)
{
  auto found = this->records.find(aDigest);
  if (found == this->records.end() || aTime < found->second.lastCrash) {
    return;
  }
  found->second.succeededAt = aTime;
  this->Clear(aDigest, found->second, ReleaseReason::Succeeded);
  this->ChooseTrial(aTime);
}

bool
RequestTracker::BeginTrial(RequestDigest aDigest, TimePoint aNow)
{
  Record& record = this->FindOrAddRecord(aDigest);
  bool isRefused = Judge(record.state) > RequestVerdict::OneAttempt;
  bool isTried =
    record.forwardedAt && aNow - *record.forwardedAt < this->options.trialTime;
  if (isRefused || isTried) {
    return false;
  }
  record.forwardedAt = aNow;
  if (record.state == RequestState::OnTrial) {
    record.triedAt = aNow;
  }
  return true;
}

// The record stays for a while, so that late reports of earlier crashes are
// recognized.
void
RequestTracker::Clear(RequestDigest aDigest,
                      Record& aRecord,
                      ReleaseReason aReason)
{
  if (aRecord.state != RequestState::Suspected) {
    this->Decide({ aDigest, {}, aReason, aRecord.count });
  }
  aRecord.state = RequestState::Suspected;
  aRecord.crashes.clear();
  aRecord.count = 0;
  this->isChanged = true;
  this->maySettle = true;
}

bool
RequestTracker::Lift(RequestDigest aDigest)
{
  auto found = this->records.find(aDigest);
  if (found == this->records.end() ||
      found->second.state == RequestState::Suspected) {
    return false;
  }
  this->Clear(aDigest, found->second, ReleaseReason::Lifted);
  this->records.erase(found);
  return true;
}

void
RequestTracker::AddKnown(const RequestEntry& aEntry)
{
  bool isKept = aEntry.state == RequestState::Quarantined ||
                aEntry.state == RequestState::OnProbation;
  if (!isKept) {
    return;
  }
  Record& record = this->FindOrAddRecord(aEntry.digest);
  // Several routers tell the same with small differences.
  bool isNewer = aEntry.state > record.state ||
                 (aEntry.state == record.state &&
                  aEntry.end > record.end + this->options.reportTime);
  if (isNewer) {
    this->isUrgent = true;
    this->maySettle = true;
    record.state = aEntry.state;
    record.end = aEntry.end;
    record.length = std::max(aEntry.length, this->options.quarantineTime);
    record.length = std::min(record.length, this->options.maxQuarantineTime);
    record.count = std::max(record.count, aEntry.crashes);
  }
}

void
RequestTracker::Retain(const std::set<RequestDigest>& aKnown,
                       TimePoint aNow,
                       Duration aLearnTime)
{
  std::size_t dropped = std::erase_if(this->records, [&](const auto& aEntry) {
    return !aKnown.contains(aEntry.first) &&
           aNow - aEntry.second.lastCrash >= aLearnTime;
  });
  this->isChanged |= dropped > 0;
  this->maySettle |= dropped > 0;
}

void
RequestTracker::Update(TimePoint aNow)
{
  for (auto record = this->records.begin(); record != this->records.end();) {
    if (this->IsForgotten(record->first, record->second, aNow)) {
      record = this->records.erase(record);
      this->maySettle = true;
    } else {
      ++record;
    }
  }
  this->SettleRivals(aNow);
  this->ChooseTrial(aNow);
}

// Applies the end of a hold, a quarantine or a probation. Returns whether
// nothing is left to remember.
bool
RequestTracker::IsForgotten(RequestDigest aDigest,
                            Record& aRecord,
                            TimePoint aNow)
{
  switch (aRecord.state) {
    case RequestState::Quarantined:
      if (aRecord.end <= aNow) {
        this->Decide({ aDigest, {}, ReleaseReason::Expired, aRecord.count });
        aRecord.state = RequestState::OnProbation;
        aRecord.end += this->options.probationTime;
      }
      return false;
    case RequestState::OnProbation:
      this->isChanged |= aRecord.end <= aNow;
      return aRecord.end <= aNow;
    case RequestState::Held:
    case RequestState::OnTrial:
      if (aNow - aRecord.lastCrash >= this->options.holdTime) {
        this->Decide({ aDigest, {}, ReleaseReason::Expired, aRecord.count });
        aRecord.state = RequestState::Suspected;
      }
      return false;
    case RequestState::Suspected:
      break;
  }
  TimePoint last = std::max({ aRecord.lastCrash,
                              aRecord.succeededAt,
                              aRecord.forwardedAt.value_or(TimePoint{}) });
  bool isForgotten = aNow - last >= this->options.crashLifetime;
  this->isChanged |= isForgotten;
  return isForgotten;
}

// One held request at a time may run, so that its crash or success is its own.
void
RequestTracker::ChooseTrial(TimePoint aNow)
{
  Record* current = nullptr;
  Record* next = nullptr;
  for (auto& [digest, record] : this->records) {
    if (record.state == RequestState::OnTrial) {
      current = &record;
    } else if (record.state == RequestState::Held &&
               !this->IsSettling(record, aNow) &&
               (next == nullptr || record.triedAt < next->triedAt)) {
      next = &record;
    }
  }
  bool isOver =
    current == nullptr || aNow - current->triedAt >= this->options.trialTime;
  if (next == nullptr || !isOver) {
    return;
  }
  if (current != nullptr) {
    current->state = RequestState::Held;
  }
  next->state = RequestState::OnTrial;
  next->triedAt = aNow;
  this->isUrgent = true;
}

RequestTracker::Record&
RequestTracker::FindOrAddRecord(RequestDigest aDigest)
{
  auto found = this->records.find(aDigest);
  if (found != this->records.end()) {
    return found->second;
  }
  if (this->records.size() >= this->options.maxRecords) {
    this->DropLeastImportant();
  }
  return this->records[aDigest];
}

void
RequestTracker::DropLeastImportant()
{
  auto rank = [](const Record& aRecord) {
    return std::pair(aRecord.state == RequestState::OnTrial ? RequestState::Held
                                                            : aRecord.state,
                     aRecord.lastCrash);
  };
  auto least =
    std::min_element(this->records.begin(),
                     this->records.end(),
                     [&](const auto& aLeft, const auto& aRight) {
                       return rank(aLeft.second) < rank(aRight.second);
                     });
  this->records.erase(least);
  this->isChanged = true;
  this->maySettle = true;
}

std::optional<RequestState>
RequestTracker::StateOf(RequestDigest aDigest) const
{
  auto found = this->records.find(aDigest);
  if (found == this->records.end() || found->second.count == 0) {
    return std::nullopt;
  }
  return found->second.state;
}

std::optional<TimePoint>
RequestTracker::LastCrash(RequestDigest aDigest) const
{
  return this->StateOf(aDigest)
           ? std::optional(this->records.at(aDigest).lastCrash)
           : std::nullopt;
}

RequestEntry
RequestTracker::MakeEntry(RequestDigest aDigest, const Record& aRecord) const
{
  bool isTimed = aRecord.state == RequestState::Quarantined ||
                 aRecord.state == RequestState::OnProbation;
  TimePoint end =
    isTimed ? aRecord.end : aRecord.lastCrash + this->options.holdTime;
  return { aDigest, aRecord.state, aRecord.count, end, aRecord.length };
}

RequestLists
RequestTracker::Lists() const
{
  RequestLists lists;
  std::vector<std::pair<TimePoint, RequestDigest>> suspects;
  for (const auto& [digest, record] : this->records) {
    if (record.state != RequestState::Suspected) {
      lists.entries.push_back(this->MakeEntry(digest, record));
    } else if (record.count > 0) {
      suspects.emplace_back(record.lastCrash, digest);
    }
  }
  std::sort(suspects.rbegin(), suspects.rend());
  suspects.resize(std::min(suspects.size(), this->options.maxSuspects));
  for (const auto& [time, digest] : suspects) {
    lists.suspects.insert(digest);
  }
  return lists;
}

std::vector<RequestCrash>
RequestTracker::Crashes() const
{
  std::map<std::pair<EndpointId, TimePoint>, std::vector<RequestDigest>> found;
  for (const auto& [digest, record] : this->records) {
    for (const auto& crash : record.crashes) {
      found[{ crash.endpoint, crash.time }].push_back(digest);
    }
  }
  std::vector<RequestCrash> crashes;
  for (auto& [crash, digests] : found) {
    crashes.push_back({ crash.first, crash.second, std::move(digests) });
  }
  return crashes;
}

void
RequestTracker::Decide(RequestDecision aDecision)
{
  this->decisions.push_back(aDecision);
  this->isUrgent = true;
}

std::vector<RequestDecision>
RequestTracker::TakeDecisions()
{
  return std::exchange(this->decisions, {});
}

bool
RequestTracker::TakeChange()
{
  bool wasUrgent = std::exchange(this->isUrgent, false);
  return std::exchange(this->isChanged, false) || wasUrgent;
}

} // namespace lycheestand::quarantine
