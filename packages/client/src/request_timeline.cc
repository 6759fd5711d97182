#include "request_timeline.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>

namespace lycheestand::client {

namespace json = boost::json;

namespace {

// The timeline has at most this many lines of each context label, the latest
// ones: more would hide the request's own lines.
constexpr std::size_t kMaxContextLinesPerLabel = 5;

std::string
GetField(const json::object& aFields, std::string_view aName)
{
  const auto* value = aFields.if_contains(aName);
  return value != nullptr && value->is_string()
           ? std::string(value->get_string())
           : "";
}

// Returns the time of day in seconds, with millisecond resolution.
double
SecondsOfDay(const std::string& aTime)
{
  // The format is 2026-01-27T05:53:32.242Z.
  constexpr std::size_t kHourOffset = 11;
  constexpr std::size_t kTimeLength = 24;
  if (aTime.size() != kTimeLength) {
    return 0;
  }
  return std::stoi(aTime.substr(kHourOffset, 2)) * 3600 +
         std::stoi(aTime.substr(kHourOffset + 3, 2)) * 60 +
         std::stod(aTime.substr(kHourOffset + 6, 6));
}

std::string
FormatLine(const LogLine& aLine, const char* aPrefix)
{
  std::string text = aLine.time + " " + aLine.instance + " " + aPrefix +
                     GetField(aLine.fields, "message");
  for (const auto& [name, value] : aLine.fields) {
    if (name != "time" && name != "level" && name != "instance" &&
        name != "message" && value.is_string()) {
      text += " " + std::string(name) + "=" + std::string(value.get_string());
    }
  }
  return text;
}

// What the request's own log lines say about it.
struct RequestSummary
{
  std::string router;
  std::string workspace;
  std::set<std::string> endpoints;
  std::string digest;
  // The request that has begun the stream which this one takes up.
  std::string resumes;
  std::string begin;
  std::string end;
  double milliseconds = 0;
  // The router closed the connection before the answer was complete.
  bool isCut = false;
};

RequestSummary
SummarizeRequest(const std::vector<LogLine>& aLines,
                 const std::string& aRequest)
{
  RequestSummary summary;
  for (const auto& line : aLines) {
    if (GetField(line.fields, "request") != aRequest) {
      continue;
    }
    summary.router = line.instance;
    summary.end = std::max(summary.end, line.time);
    std::string endpoint = GetField(line.fields, "endpoint");
    if (!endpoint.empty()) {
      summary.endpoints.insert(endpoint);
    }
    std::string workspace = GetField(line.fields, "workspace");
    if (!workspace.empty()) {
      summary.workspace = workspace;
    }
    std::string digest = GetField(line.fields, "digest");
    if (!digest.empty()) {
      summary.digest = digest;
    }
    std::string resumes = GetField(line.fields, "resumes");
    if (!resumes.empty()) {
      summary.resumes = resumes;
    }
    std::string event = GetField(line.fields, "event");
    std::string time = GetField(line.fields, "ms");
    bool isCut = event == "request_cut";
    if ((event == "request" || isCut) && !time.empty()) {
      summary.milliseconds = std::atof(time.c_str());
    }
    summary.isCut |= isCut;
  }
  return summary;
}

// Returns the label of a log line that isn't the request's own but may explain
// it; null if the line is unrelated.
const char*
ContextLabel(const LogLine& aLine, const RequestSummary& aSummary)
{
  const std::string event = GetField(aLine.fields, "event");
  const std::string message = GetField(aLine.fields, "message");
  const std::string request = GetField(aLine.fields, "request");
  if (!request.empty() && request == aSummary.resumes) {
    return "[stream] ";
  }
  if (aLine.instance == aSummary.router &&
      (event == "control_lost" || event == "routes_in_force" ||
       event == "leaving" || message == "connected to control" ||
       message == "started")) {
    return "[router] ";
  }
  if (aLine.instance == aSummary.router && aSummary.isCut &&
      (event == "buffers_full" || event == "buffer_holder_closed" ||
       event == "response_dropped" || event == "stalled" ||
       event == "finishing")) {
    return "[router] ";
  }
  if (event == "budget" &&
      GetField(aLine.fields, "workspace") == aSummary.workspace) {
    return "[budget] ";
  }
  const std::string digest = GetField(aLine.fields, "digest");
  if ((event == "request_held" || event == "request_quarantined" ||
       event == "request_released") &&
      digest == aSummary.digest) {
    return "[quarantine] ";
  }
  // Another request with the same content ended with its endpoint.
  if (event == "attempt" && !digest.empty() && digest == aSummary.digest) {
    return "[same content] ";
  }
  if (event == "endpoint_capacity" && aLine.instance == aSummary.router &&
      aSummary.endpoints.contains(GetField(aLine.fields, "endpoint"))) {
    return "[endpoint] ";
  }
  // Another request counts if its log line was written while this request ran,
  // or up to one second later.
  double secondsBeforeEnd =
    SecondsOfDay(aSummary.end) - SecondsOfDay(aLine.time);
  bool isNear =
    secondsBeforeEnd <= aSummary.milliseconds / 1000 && secondsBeforeEnd >= -1;
  if (event == "request" && isNear &&
      aSummary.endpoints.contains(GetField(aLine.fields, "endpoint"))) {
    return "[same endpoint] ";
  }
  return nullptr;
}

} // namespace

std::vector<LogLine>
ReadLogLines(std::istream& aInput)
{
  std::vector<LogLine> lines;
  for (std::string text; std::getline(aInput, text);) {
    auto begin = text.find('{');
    if (begin == std::string::npos) {
      continue;
    }
    json::error_code error;
    auto parsed = json::parse(text.substr(begin), error);
    if (error || !parsed.is_object()) {
      continue;
    }
    LogLine line;
    line.fields = parsed.get_object();
    line.time = GetField(line.fields, "time");
    line.instance = GetField(line.fields, "instance");
    lines.push_back(std::move(line));
  }
  return lines;
}

std::vector<std::string>
BuildRequestTimeline(std::vector<LogLine> aLines, const std::string& aRequest)
{
  std::stable_sort(aLines.begin(),
                   aLines.end(),
                   [](const LogLine& aLeft, const LogLine& aRight) {
                     return aLeft.time < aRight.time;
                   });
  RequestSummary summary = SummarizeRequest(aLines, aRequest);
  if (summary.router.empty()) {
    return {};
  }
  std::vector<std::pair<std::size_t, std::string>> timeline;
  std::map<std::string, std::size_t> linesPerLabel;
  // From the last line backwards, so that the latest lines of each label are
  // kept.
  for (std::size_t i = aLines.size(); i-- > 0;) {
    const LogLine& line = aLines[i];
    if (GetField(line.fields, "request") == aRequest) {
      bool isCut = GetField(line.fields, "event") == "request_cut";
      timeline.emplace_back(i,
                            FormatLine(line, isCut ? "[cut] " : "[request] "));
      continue;
    }
    const char* label = ContextLabel(line, summary);
    bool isAfter = label != nullptr && line.time > summary.end &&
                   std::string(label) != "[same endpoint] ";
    if (label == nullptr || isAfter) {
      continue;
    }
    if (++linesPerLabel[label] <= kMaxContextLinesPerLabel) {
      timeline.emplace_back(i, FormatLine(line, label));
    }
  }
  std::vector<std::string> out;
  for (auto entry = timeline.rbegin(); entry != timeline.rend(); ++entry) {
    out.push_back(std::move(entry->second));
  }
  return out;
}

} // namespace lycheestand::client
