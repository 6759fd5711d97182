#include "entry_codec.h"

#include <boost/json.hpp>
#include <charconv>

namespace lycheestand::control {

namespace json = boost::json;

namespace {

// Entry kinds in messages and in records on disk. The values must not change.
constexpr std::uint8_t kNoOp = 0;
constexpr std::uint8_t kCommand = 1;
constexpr std::uint8_t kMembers = 2;

// Disk ids are encoded as strings, because many JSON parsers lose precision on
// 64-bit numbers.
json::array
EncodeMemberSet(const std::set<consensus::Member>& aMembers)
{
  json::array out;
  for (const auto& member : aMembers) {
    out.push_back(
      json::array{ member.instance.Get(), std::to_string(member.disk.Get()) });
  }
  return out;
}

std::optional<consensus::Member>
DecodeMember(const json::value& aValue)
{
  const auto* pair = aValue.if_array();
  if (pair == nullptr || pair->size() != 2 || !(*pair)[0].is_string() ||
      !(*pair)[1].is_string()) {
    return std::nullopt;
  }
  const auto& digits = (*pair)[1].get_string();
  std::uint64_t disk = 0;
  const char* end = digits.data() + digits.size();
  auto parsed = std::from_chars(digits.data(), end, disk);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return consensus::Member{ InstanceId(std::string((*pair)[0].get_string())),
                            DiskId(disk) };
}

bool
DecodeMemberSet(const json::value& aDocument,
                const char* aName,
                std::set<consensus::Member>& aMembers)
{
  const auto* object = aDocument.if_object();
  const auto* list = object == nullptr ? nullptr : object->if_contains(aName);
  if (list == nullptr || !list->is_array()) {
    return false;
  }
  for (const auto& item : list->get_array()) {
    auto member = DecodeMember(item);
    if (!member) {
      return false;
    }
    aMembers.insert(std::move(*member));
  }
  return true;
}

json::object
EncodeLocations(const consensus::Configuration& aMembers)
{
  json::object out;
  for (const auto& [instance, location] : aMembers.locations) {
    out[instance.Get()] =
      json::array{ ToString(location.address), location.zone.Get() };
  }
  return out;
}

// Entries of earlier versions have no locations.
bool
DecodeLocations(const json::value& aDocument, consensus::Configuration& aOut)
{
  const auto* list = aDocument.as_object().if_contains("locations");
  if (list == nullptr) {
    return true;
  }
  if (!list->is_object()) {
    return false;
  }
  for (const auto& item : list->get_object()) {
    const auto* pair = item.value().if_array();
    if (pair == nullptr || pair->size() != 2 || !(*pair)[0].is_string() ||
        !(*pair)[1].is_string()) {
      return false;
    }
    auto address = ParseAddress(std::string((*pair)[0].get_string()));
    if (address.has_error()) {
      return false;
    }
    aOut.locations[InstanceId(std::string(item.key()))] = {
      address.value(), ZoneId(std::string((*pair)[1].get_string()))
    };
  }
  return true;
}

} // namespace

std::string
EncodeMembers(const consensus::Configuration& aMembers)
{
  return json::serialize(
    json::object{ { "voters", EncodeMemberSet(aMembers.voters) },
                  { "learners", EncodeMemberSet(aMembers.learners) },
                  { "locations", EncodeLocations(aMembers) } });
}

std::optional<consensus::Configuration>
DecodeMembers(std::string_view aText)
{
  json::error_code error;
  json::value document = json::parse({ aText.data(), aText.size() }, error);
  consensus::Configuration members;
  if (error || !DecodeMemberSet(document, "voters", members.voters) ||
      !DecodeMemberSet(document, "learners", members.learners) ||
      !DecodeLocations(document, members)) {
    return std::nullopt;
  }
  return members;
}

std::uint8_t
KindOf(const consensus::EntryBody& aBody)
{
  if (std::holds_alternative<consensus::CommandBytes>(aBody)) {
    return kCommand;
  }
  return std::holds_alternative<consensus::Configuration>(aBody) ? kMembers
                                                                 : kNoOp;
}

std::string
EncodePayload(const consensus::EntryBody& aBody)
{
  if (const auto* command = std::get_if<consensus::CommandBytes>(&aBody)) {
    return command->bytes;
  }
  const auto* members = std::get_if<consensus::Configuration>(&aBody);
  return members == nullptr ? "" : EncodeMembers(*members);
}

std::optional<consensus::EntryBody>
DecodePayload(std::uint8_t aKind, const std::string& aPayload)
{
  if (aKind == kNoOp) {
    return consensus::NoOp{};
  }
  if (aKind == kCommand) {
    return consensus::CommandBytes{ aPayload };
  }
  auto members = aKind == kMembers ? DecodeMembers(aPayload) : std::nullopt;
  return members ? std::optional<consensus::EntryBody>(std::move(*members))
                 : std::nullopt;
}

} // namespace lycheestand::control
