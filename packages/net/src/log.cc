#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <chrono>
#include <iostream>
#include <lycheestand/net.h>
#include <mutex>

namespace lycheestand::net {

namespace logging = boost::log;

namespace {

// Maximum number of lines that wait to be written. Further lines are dropped,
// so that a slow reader of standard output never blocks a task.
constexpr std::size_t kMaxQueuedLines = 4096;

using Backend = logging::sinks::text_ostream_backend;
using Sink = logging::sinks::asynchronous_sink<
  Backend,
  logging::sinks::bounded_fifo_queue<kMaxQueuedLines,
                                     logging::sinks::drop_on_overflow>>;

boost::shared_ptr<Sink> gSink;
LogFormat gFormat = LogFormat::Text;
std::string gInstance;

logging::trivial::severity_level
ToSeverity(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return logging::trivial::debug;
    case LogLevel::Info:
      return logging::trivial::info;
    case LogLevel::Warning:
      return logging::trivial::warning;
    case LogLevel::Error:
      break;
  }
  return logging::trivial::error;
}

// Returns the date and time in UTC, in ISO 8601. The wall clock is only for
// display; durations and timeouts use the clock of the runtime.
std::string
FormatWallTime()
{
  auto now = std::chrono::system_clock::now();
  auto seconds = std::chrono::floor<std::chrono::seconds>(now);
  auto millis =
    std::chrono::duration_cast<std::chrono::milliseconds>(now - seconds);
  std::time_t time = std::chrono::system_clock::to_time_t(seconds);
  std::tm utc{};
  gmtime_r(&time, &utc);
  char text[40];
  std::size_t length =
    std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &utc);
  std::snprintf(text + length,
                sizeof(text) - length,
                ".%03dZ",
                static_cast<int>(millis.count()));
  return text;
}

std::string
FormatJson(logging::trivial::severity_level aLevel,
           std::string_view aMessage,
           const LogFields& aFields)
{
  boost::json::object line;
  line["time"] = FormatWallTime();
  line["level"] = logging::trivial::to_string(aLevel);
  line["instance"] = gInstance;
  line["message"] = aMessage;
  for (const auto& [name, value] : aFields) {
    line[name] = value;
  }
  return boost::json::serialize(line);
}

std::string
FormatText(logging::trivial::severity_level aLevel,
           std::string_view aMessage,
           const LogFields& aFields)
{
  std::string line = FormatWallTime() + " " +
                     logging::trivial::to_string(aLevel) + " " + gInstance +
                     " " + std::string(aMessage);
  for (const auto& [name, value] : aFields) {
    line += " " + std::string(name) + "=" + value;
  }
  return line;
}

} // namespace

std::string
FormatMilliseconds(Duration aDuration)
{
  return std::to_string(
    std::chrono::duration_cast<Milliseconds>(aDuration).count());
}

void
SetUpLogging(LogLevel aLevel, LogFormat aFormat, const InstanceId& aInstance)
{
  gFormat = aFormat;
  gInstance = aInstance.Get();
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(
    boost::shared_ptr<std::ostream>(&std::cout, [](std::ostream*) {}));
  backend->auto_flush(true);
  gSink = boost::make_shared<Sink>(backend);
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(gSink);
  logging::core::get()->set_filter(logging::trivial::severity >=
                                   ToSeverity(aLevel));
}

void
FlushLog()
{
  if (gSink) {
    gSink->flush();
  }
}

void
Log(LogLevel aLevel, std::string_view aMessage, const LogFields& aFields)
{
  auto severity = ToSeverity(aLevel);
  BOOST_LOG_STREAM_WITH_PARAMS(logging::trivial::logger::get(),
                               (logging::keywords::severity = severity))
    << (gFormat == LogFormat::Json ? FormatJson(severity, aMessage, aFields)
                                   : FormatText(severity, aMessage, aFields));
}

} // namespace lycheestand::net
