#include <algorithm>
#include <lycheestand/streams.h>

namespace lycheestand::streams {

std::size_t
ReportQueue::Add(const StreamBatch& aReport)
{
  std::size_t accepted =
    std::min(aReport.streams.size(), this->maxStreams - this->count);
  if (accepted > 0) {
    auto& streams = this->queued[{ aReport.service, aReport.version }];
    streams.insert(streams.end(),
                   aReport.streams.begin(),
                   aReport.streams.begin() +
                     static_cast<std::ptrdiff_t>(accepted));
    this->count += accepted;
  }
  return aReport.streams.size() - accepted;
}

std::vector<StreamBatch>
ReportQueue::Take(std::size_t aMaxStreams)
{
  std::vector<StreamBatch> taken;
  while (aMaxStreams > 0 && !this->queued.empty()) {
    auto first = this->queued.begin();
    auto& streams = first->second;
    auto size = std::min(aMaxStreams, streams.size());
    auto begin = streams.end() - static_cast<std::ptrdiff_t>(size);
    taken.push_back(
      { first->first.first, first->first.second, { begin, streams.end() } });
    streams.erase(begin, streams.end());
    if (streams.empty()) {
      this->queued.erase(first);
    }
    aMaxStreams -= size;
    this->count -= size;
  }
  return taken;
}

void
ReportQueue::Clear()
{
  this->queued.clear();
  this->count = 0;
}

} // namespace lycheestand::streams
