#include <algorithm>
#include <lycheestand/quarantine.h>

namespace lycheestand::quarantine {

void
ReplacedProcesses::AddCrashed(const EndpointId& aEndpoint)
{
  auto found = this->processes.find(aEndpoint);
  if (found != this->processes.end()) {
    found->second.hasEnded = true;
  }
}

void
ReplacedProcesses::AddBroken(RequestCrash aBroken)
{
  auto found = this->processes.find(aBroken.endpoint);
  if (found == this->processes.end() || found->second.hasEnded) {
    return;
  }
  if (this->broken.size() >= this->options.maxBroken) {
    this->broken.erase(this->broken.begin());
  }
  this->broken.push_back({ found->second.process, std::move(aBroken) });
}

std::vector<RequestCrash>
ReplacedProcesses::Update(const std::vector<Process>& aProcesses,
                          TimePoint aNow)
{
  std::map<EndpointId, Listed> listed;
  std::map<Address, EndpointId> atAddress;
  for (const auto& process : aProcesses) {
    auto known = this->processes.find(process.endpoint);
    bool hasEnded = known != this->processes.end() && known->second.hasEnded &&
                    known->second.process == process;
    listed.emplace(process.endpoint, Listed{ process, hasEnded });
    atAddress.emplace(process.address, process.endpoint);
  }
  this->processes = std::move(listed);
  std::erase_if(this->broken, [&](const Broken& aBroken) {
    return aNow - aBroken.attempt.time > this->options.watchTime;
  });
  std::vector<RequestCrash> crashes;
  std::erase_if(this->broken, [&](Broken& aBroken) {
    bool isReplaced = this->IsReplaced(aBroken.process, atAddress);
    if (isReplaced) {
      crashes.push_back(std::move(aBroken.attempt));
    }
    return isReplaced;
  });
  return crashes;
}

// A start time that is not known says nothing, and neither does an entry that
// is missing: the list is read page by page.
bool
ReplacedProcesses::IsReplaced(
  const Process& aProcess,
  const std::map<Address, EndpointId>& aAtAddress) const
{
  auto same = this->processes.find(aProcess.endpoint);
  if (same == this->processes.end()) {
    return aAtAddress.contains(aProcess.address);
  }
  auto start = same->second.process.start;
  return start != StartTime() && aProcess.start != StartTime() &&
         start != aProcess.start;
}

} // namespace lycheestand::quarantine
