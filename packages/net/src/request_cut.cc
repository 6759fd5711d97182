#include <lycheestand/net.h>

namespace lycheestand::net {

bool
IsClosedByServer(Disconnect aHow)
{
  return aHow != Disconnect::Closed && aHow != Disconnect::Broken;
}

const char*
ToString(Disconnect aHow)
{
  switch (aHow) {
    case Disconnect::Closed:
      return "closed";
    case Disconnect::Broken:
      return "broken";
    case Disconnect::Aborted:
      return "aborted";
    case Disconnect::WriteTimeout:
      return "write_timeout";
    case Disconnect::ServerFull:
      return "server_full";
    case Disconnect::NoMemory:
      return "no_memory";
    case Disconnect::Stopped:
      return "stopped";
    case Disconnect::TaskFailed:
      break;
  }
  return "task_failed";
}

void
ReportRequestCut(const std::string& aReason, LogFields aFields)
{
  aFields.insert(aFields.begin(),
                 { { "event", "request_cut" }, { "reason", aReason } });
  Log(LogLevel::Warning,
      "closed the connection of a request without a complete answer",
      aFields);
  Metrics()
    .GetCounter("lycheestand_requests_cut_total", "reason=\"" + aReason + "\"")
    .Add();
}

} // namespace lycheestand::net
