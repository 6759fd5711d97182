#ifndef LYCHEESTAND_CLIENT_SRC_LOG_STORY_H
#define LYCHEESTAND_CLIENT_SRC_LOG_STORY_H

// Joins the log lines of several processes into the story of one request.

#include <boost/json.hpp>
#include <istream>
#include <string>
#include <vector>

namespace lycheestand::client {

// A log line in the JSON format, whatever stands before the JSON.
struct LogLine
{
  std::string time;
  std::string instance;
  boost::json::object fields;
};

// Reads the lines of one file; others than the daemon's own are left out.
std::vector<LogLine>
ReadLogLines(std::istream& aInput);

// Returns the story of a request in lines of text, in the order of time: its
// own lines, what its router knew of control and of the routes then, the
// budget lines of its workspace, and other requests at its endpoint. Empty if
// no line names the request.
std::vector<std::string>
TellStory(std::vector<LogLine> aLines, const std::string& aRequest);

} // namespace lycheestand::client

#endif
