#include <lycheestand/quarantine.h>

namespace lycheestand::quarantine {

namespace {

// Time after which control's lists take a report into account.
constexpr Duration kReportTime = std::chrono::seconds(2);

} // namespace

void
CrashReports::Add(Report aReport)
{
  auto oldest = aReport.time - TrackerOptions().crashLifetime;
  std::erase_if(this->reports, [oldest](const Report& aOther) {
    return aOther.time <= oldest;
  });
  this->reports.push_back(std::move(aReport));
}

void
CrashReports::Update(const PartLists& aLists, TimePoint aNow)
{
  for (auto& report : this->reports) {
    if (aNow - report.time < kReportTime) {
      continue;
    }
    std::erase_if(report.parts, [&aLists](PromptPartId aPart) {
      return !aLists.suspects.contains(aPart) &&
             !aLists.quarantined.contains(aPart);
    });
  }
  std::erase_if(this->reports,
                [](const Report& aReport) { return aReport.parts.empty(); });
}

} // namespace lycheestand::quarantine
