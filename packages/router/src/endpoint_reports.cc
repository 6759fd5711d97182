#include "endpoint_reports.h"

#include <boost/json.hpp>
#include <charconv>

namespace lycheestand::router {

namespace json = boost::json;

namespace {

// Returns a member's value, or nothing if it is not an integer of at least 0.
std::optional<std::uint64_t>
ReadCount(const json::object& aObject, const char* aName)
{
  const auto* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_int64() || value->get_int64() < 0) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(value->get_int64());
}

bool
ReadFlag(const json::object& aObject, const char* aName)
{
  const auto* value = aObject.if_contains(aName);
  return value != nullptr && value->is_bool() && value->get_bool();
}

std::set<std::string>
ReadNames(const json::object& aObject, const char* aName)
{
  std::set<std::string> names;
  const auto* value = aObject.if_contains(aName);
  if (value != nullptr && value->is_array()) {
    for (const auto& item : value->get_array()) {
      if (item.is_string()) {
        names.emplace(item.get_string());
      }
    }
  }
  return names;
}

std::optional<routing::CacheEvent>
ReadEvent(const json::value& aValue)
{
  if (!aValue.is_object()) {
    return std::nullopt;
  }
  const auto& object = aValue.get_object();
  auto sequence = ReadCount(object, "seq");
  const auto* prefix = object.if_contains("prefix");
  if (!sequence || prefix == nullptr || !prefix->is_string()) {
    return std::nullopt;
  }
  std::string_view text(prefix->get_string());
  std::uint64_t hash = 0;
  auto read = std::from_chars(text.data(), text.data() + text.size(), hash, 16);
  if (read.ec != std::errc{} || read.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return routing::CacheEvent{ *sequence,
                              routing::PrefixHash(hash),
                              ReadFlag(object, "added") };
}

} // namespace

// The endpoint gives the report's age at the time of its answer. That time is
// taken as when the request was sent, so that a report is never taken as newer
// than it is.
std::optional<routing::LoadReport>
ParseLoadReport(const std::string& aBody, TimePoint aAskedAt)
{
  json::error_code error;
  json::value parsed = json::parse(aBody, error);
  if (error || !parsed.is_object()) {
    return std::nullopt;
  }
  const auto& object = parsed.get_object();
  auto running = ReadCount(object, "running");
  auto queued = ReadCount(object, "queued");
  auto slots = ReadCount(object, "slots");
  if (!running || !queued || !slots) {
    return std::nullopt;
  }
  routing::LoadReport report;
  report.running = static_cast<std::uint32_t>(*running);
  report.queued = static_cast<std::uint32_t>(*queued);
  report.slots = static_cast<std::uint32_t>(*slots);
  report.cacheTokens = Tokens(
    static_cast<std::int64_t>(ReadCount(object, "cache_tokens").value_or(0)));
  report.leaving = ReadFlag(object, "leaving");
  report.models = ReadNames(object, "models");
  const auto* role = object.if_contains("role");
  report.runsPrefill = role == nullptr || *role != json::value("decode");
  report.measuredAt =
    aAskedAt - Milliseconds(ReadCount(object, "age_ms").value_or(0));
  return report;
}

std::optional<EventBatch>
ParseEvents(const std::string& aBody)
{
  json::error_code error;
  json::value parsed = json::parse(aBody, error);
  if (error || !parsed.is_object()) {
    return std::nullopt;
  }
  const auto& object = parsed.get_object();
  auto next = ReadCount(object, "next");
  const auto* events = object.if_contains("events");
  if (!next || events == nullptr || !events->is_array()) {
    return std::nullopt;
  }
  EventBatch batch;
  batch.next = *next;
  for (const auto& value : events->get_array()) {
    if (auto event = ReadEvent(value)) {
      batch.events.push_back(*event);
    }
  }
  return batch;
}

} // namespace lycheestand::router
