#ifndef LYCHEESTAND_CLIENT_SRC_REQUEST_TIMELINE_H
#define LYCHEESTAND_CLIENT_SRC_REQUEST_TIMELINE_H

// Joins the log lines of several processes into the timeline of one request.

#include <boost/json.hpp>
#include <istream>
#include <string>
#include <vector>

namespace lycheestand::client {

// A log line in the JSON format. Text before the JSON object, such as a prefix
// of a log collector, is ignored.
struct LogLine
{
  std::string time;
  std::string instance;
  boost::json::object fields;
};

// Reads the log lines of one file; lines without a JSON object are skipped.
std::vector<LogLine>
ReadLogLines(std::istream& aInput);

// Returns the timeline of a request as lines of text in chronological order:
// its own log lines, its router's lines about control and the routes, the
// budget lines of its workspace, and other requests at its endpoints at that
// time. If its router closed the connection before the answer was complete,
// also what tells why. Returns an empty list if no line names the request.
std::vector<std::string>
BuildRequestTimeline(std::vector<LogLine> aLines, const std::string& aRequest);

} // namespace lycheestand::client

#endif
