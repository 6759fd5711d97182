#include <algorithm>
#include <lycheestand/streams.h>

namespace lycheestand::streams {

void
StreamLog::Begin(const ServiceName& aService,
                 StreamId aStream,
                 const SoftwareVersion& aVersion,
                 TimePoint aNow)
{
  this->DropOld(aNow);
  auto origin = this->origins.try_emplace({ aService, aVersion }, 0).first;
  Entry entry{ aStream, aNow, origin };
  auto [known, isNew] = this->numbers.try_emplace(aStream, 0);
  if (!isNew) {
    const auto& last = this->entries[known->second - this->firstNumber];
    entry.isAmbiguous = last.isAmbiguous || last.origin != origin;
  }
  known->second = this->firstNumber + this->entries.size();
  ++origin->second;
  this->entries.push_back(entry);
  if (this->entries.size() > this->options.maxStreams) {
    this->DropFirst();
  }
}

KnownStream
StreamLog::Find(StreamId aStream, TimePoint aNow) const
{
  auto found = this->numbers.find(aStream);
  if (found == this->numbers.end()) {
    return {};
  }
  const auto& entry = this->entries[found->second - this->firstNumber];
  if (this->IsExpired(entry, aNow)) {
    return {};
  }
  KnownStream known{ true, {} };
  if (!entry.isAmbiguous) {
    known.version = entry.origin->first.second;
  }
  return known;
}

void
StreamLog::SetServices(std::set<ServiceName> aServices)
{
  for (auto& entry : this->entries) {
    const auto& service = entry.origin->first.first;
    if (aServices.contains(service) && !this->services.contains(service)) {
      entry.isReported = false;
      this->nextReport = this->firstNumber;
    }
  }
  this->services = std::move(aServices);
}

void
StreamLog::ReportAgain()
{
  for (auto& entry : this->entries) {
    entry.isReported = false;
  }
  this->nextReport = this->firstNumber;
}

std::vector<StreamBatch>
StreamLog::TakeReports(std::size_t aMaxStreams, TimePoint aNow)
{
  this->DropOld(aNow);
  std::map<Origin, std::vector<StreamId>> taken;
  std::size_t count = 0;
  const auto end = this->firstNumber + this->entries.size();
  for (; this->nextReport < end && count < aMaxStreams; ++this->nextReport) {
    auto& entry = this->entries[this->nextReport - this->firstNumber];
    const auto& origin = entry.origin->first;
    if (!entry.isReported && this->services.contains(origin.first)) {
      entry.isReported = true;
      taken[origin].push_back(entry.stream);
      ++count;
    }
  }
  std::vector<StreamBatch> reports;
  for (auto& [origin, streams] : taken) {
    reports.push_back({ origin.first, origin.second, std::move(streams) });
  }
  return reports;
}

void
StreamLog::DropOld(TimePoint aNow)
{
  while (!this->entries.empty() &&
         this->IsExpired(this->entries.front(), aNow)) {
    this->DropFirst();
  }
}

void
StreamLog::DropFirst()
{
  const auto& first = this->entries.front();
  auto known = this->numbers.find(first.stream);
  if (known->second == this->firstNumber) {
    this->numbers.erase(known);
  }
  if (--first.origin->second == 0) {
    this->origins.erase(first.origin);
  }
  this->entries.pop_front();
  ++this->firstNumber;
  this->nextReport = std::max(this->nextReport, this->firstNumber);
}

} // namespace lycheestand::streams
