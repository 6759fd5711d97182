#include "request_timeline.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>

namespace lycheestand::client {

namespace json = boost::json;

namespace {

// Lines of others that are kept for each kind, the last before the request's
// end: more would hide the request's own.
constexpr std::size_t kMostOthers = 5;

std::string
Find(const json::object& aFields, std::string_view aName)
{
  const auto* value = aFields.if_contains(aName);
  return value != nullptr && value->is_string()
           ? std::string(value->get_string())
           : "";
}

// Returns the seconds of a line's time within its day, to the millisecond.
double
SecondsOf(const std::string& aTime)
{
  // The form is 2026-01-27T05:53:32.242Z.
  constexpr std::size_t kHour = 11;
  constexpr std::size_t kLength = 24;
  if (aTime.size() != kLength) {
    return 0;
  }
  return std::stoi(aTime.substr(kHour, 2)) * 3600 +
         std::stoi(aTime.substr(kHour + 3, 2)) * 60 +
         std::stod(aTime.substr(kHour + 6, 6));
}

std::string
Format(const LogLine& aLine, const char* aPrefix)
{
  std::string text = aLine.time + " " + aLine.instance + " " + aPrefix +
                     Find(aLine.fields, "message");
  for (const auto& [name, value] : aLine.fields) {
    if (name != "time" && name != "level" && name != "instance" &&
        name != "message" && value.is_string()) {
      text += " " + std::string(name) + "=" + std::string(value.get_string());
    }
  }
  return text;
}

// What the request's own lines say of it.
struct Subject
{
  std::string router;
  std::string workspace;
  std::set<std::string> endpoints;
  std::string begin;
  std::string end;
  double milliseconds = 0;
};

Subject
FindSubject(const std::vector<LogLine>& aLines, const std::string& aRequest)
{
  Subject subject;
  for (const auto& line : aLines) {
    if (Find(line.fields, "request") != aRequest) {
      continue;
    }
    subject.router = line.instance;
    subject.end = std::max(subject.end, line.time);
    std::string endpoint = Find(line.fields, "endpoint");
    if (!endpoint.empty()) {
      subject.endpoints.insert(endpoint);
    }
    std::string workspace = Find(line.fields, "workspace");
    if (!workspace.empty()) {
      subject.workspace = workspace;
    }
    std::string time = Find(line.fields, "ms");
    if (Find(line.fields, "event") == "request" && !time.empty()) {
      subject.milliseconds = std::atof(time.c_str());
    }
  }
  return subject;
}

// Returns why a line of others belongs to the story, or null.
const char*
Relate(const LogLine& aLine, const Subject& aSubject)
{
  const std::string event = Find(aLine.fields, "event");
  const std::string message = Find(aLine.fields, "message");
  if (aLine.instance == aSubject.router &&
      (event == "control_lost" || event == "routes_in_force" ||
       event == "leaving" || message == "connected to control" ||
       message == "started")) {
    return "[router] ";
  }
  if (event == "budget" &&
      Find(aLine.fields, "workspace") == aSubject.workspace) {
    return "[budget] ";
  }
  double gap = SecondsOf(aSubject.end) - SecondsOf(aLine.time);
  bool isNear = gap <= aSubject.milliseconds / 1000 && gap >= -1;
  if (event == "request" && isNear &&
      aSubject.endpoints.contains(Find(aLine.fields, "endpoint"))) {
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
    line.time = Find(line.fields, "time");
    line.instance = Find(line.fields, "instance");
    lines.push_back(std::move(line));
  }
  return lines;
}

std::vector<std::string>
TellStory(std::vector<LogLine> aLines, const std::string& aRequest)
{
  std::stable_sort(aLines.begin(),
                   aLines.end(),
                   [](const LogLine& aLeft, const LogLine& aRight) {
                     return aLeft.time < aRight.time;
                   });
  Subject subject = FindSubject(aLines, aRequest);
  if (subject.router.empty()) {
    return {};
  }
  std::vector<std::pair<std::size_t, std::string>> story;
  std::map<std::string, std::size_t> counts;
  // From the last line back, so that the newest of each kind are kept.
  for (std::size_t i = aLines.size(); i-- > 0;) {
    const LogLine& line = aLines[i];
    if (Find(line.fields, "request") == aRequest) {
      story.emplace_back(i, Format(line, "[request] "));
      continue;
    }
    const char* relation = Relate(line, subject);
    bool isAfter = relation != nullptr && line.time > subject.end &&
                   std::string(relation) != "[same endpoint] ";
    if (relation == nullptr || isAfter) {
      continue;
    }
    if (++counts[relation] <= kMostOthers) {
      story.emplace_back(i, Format(line, relation));
    }
  }
  std::vector<std::string> out;
  for (auto entry = story.rbegin(); entry != story.rend(); ++entry) {
    out.push_back(std::move(entry->second));
  }
  return out;
}

} // namespace lycheestand::client
