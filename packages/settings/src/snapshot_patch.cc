#include "reader.h"

// Control sends a router the difference to the snapshot that the router has: at
// 22,000 changes a day, whole snapshots of half a megabyte would exceed the
// 11 KB/s that a machine may use for control.

namespace lycheestand::settings {

namespace json = boost::json;

namespace {

json::value
Diff(const json::value& aFrom, const json::value& aTo)
{
  if (!aFrom.is_object() || !aTo.is_object()) {
    return aTo;
  }
  json::object patch;
  for (const auto& member : aFrom.get_object()) {
    if (!aTo.get_object().contains(member.key())) {
      patch[member.key()] = nullptr;
    }
  }
  for (const auto& member : aTo.get_object()) {
    const auto* old = aFrom.get_object().if_contains(member.key());
    if (old == nullptr) {
      patch[member.key()] = member.value();
    } else if (*old != member.value()) {
      patch[member.key()] = Diff(*old, member.value());
    }
  }
  return patch;
}

void
Merge(json::value& aTarget, const json::value& aPatch)
{
  if (!aPatch.is_object()) {
    aTarget = aPatch;
    return;
  }
  if (!aTarget.is_object()) {
    aTarget = json::object();
  }
  auto& target = aTarget.get_object();
  for (const auto& member : aPatch.get_object()) {
    if (member.value().is_null()) {
      target.erase(member.key());
    } else {
      Merge(target[member.key()], member.value());
    }
  }
}

} // namespace

std::string
MakeSnapshotPatch(std::string_view aFrom, std::string_view aTo)
{
  return json::serialize(Diff(ParseJson(aFrom), ParseJson(aTo)));
}

Result<std::string, SettingsError>
ApplySnapshotPatch(std::string_view aFrom, std::string_view aPatch)
{
  using ResultType = Result<std::string, SettingsError>;
  try {
    auto target = ParseJson(aFrom);
    Merge(target, ParseJson(aPatch));
    return ResultType(boost::outcome_v2::in_place_type<std::string>,
                      json::serialize(target));
  } catch (const ReadFailure& failure) {
    return failure.error;
  }
}

} // namespace lycheestand::settings
