#include "fleet_reader.h"

#include <fstream>

// Operations on whole documents: reading files, merging overlays and comparing.

namespace lycheestand::settings {

namespace json = boost::json;

namespace {

// Returns aRun's result; adds the file's name to a ReadFailure that it throws.
template<class Run>
auto
WithFileInErrors(const std::string& aFile, Run aRun)
{
  try {
    return aRun();
  } catch (ReadFailure& failure) {
    failure.error.file = aFile;
    throw;
  }
}

void
AddOverlay(const SiteOverlay& aOverlay,
           const FleetSettings& aFleet,
           json::object& aSites)
{
  json::value overlay = ParseJson(aOverlay.source.text);
  Reader reader(overlay, "");
  CheckMemberName(reader, aOverlay.site.Get());
  ReadSite(reader);
  CheckAllowedNames(reader, aFleet);
  if (aSites.contains(aOverlay.site.Get())) {
    reader.Fail("the site \"" + aOverlay.site.Get() +
                "\" is already set by the base file or another overlay");
  }
  aSites[aOverlay.site.Get()] = overlay;
}

void
Diff(const json::value* aBefore,
     const json::value* aAfter,
     const std::string& aPointer,
     std::vector<Difference>& aOut)
{
  bool areObjects = aBefore != nullptr && aAfter != nullptr &&
                    aBefore->is_object() && aAfter->is_object();
  if (!areObjects) {
    if (aBefore == nullptr || aAfter == nullptr || *aBefore != *aAfter) {
      aOut.push_back({ aPointer,
                       aBefore == nullptr ? "" : json::serialize(*aBefore),
                       aAfter == nullptr ? "" : json::serialize(*aAfter) });
    }
    return;
  }
  std::set<std::string> names;
  for (const auto* side : { aBefore, aAfter }) {
    for (const auto& member : side->get_object()) {
      names.emplace(member.key());
    }
  }
  for (const auto& name : names) {
    Diff(aBefore->get_object().if_contains(name),
         aAfter->get_object().if_contains(name),
         aPointer + "/" + EscapePointer(name),
         aOut);
  }
}

// Arrays and empty objects are written on one line; most arrays are short lists
// of names.
void
WritePretty(const json::value& aValue,
            const std::string& aIndent,
            std::string& aOut)
{
  if (!aValue.is_object() || aValue.get_object().empty()) {
    aOut += json::serialize(aValue);
    return;
  }
  const std::string inner = aIndent + "  ";
  aOut += "{";
  const char* separator = "\n";
  for (const auto& member : aValue.get_object()) {
    aOut +=
      separator + inner + json::serialize(json::string(member.key())) + ": ";
    WritePretty(member.value(), inner, aOut);
    separator = ",\n";
  }
  aOut += "\n" + aIndent + "}";
}

} // namespace

Result<SourceText, SettingsError>
ReadSource(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::string text(kMaxDocumentBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad() || (file.fail() && !file.eof())) {
    return SettingsError{
      aPath, "", "can't be read; check that the file exists and is readable"
    };
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > kMaxDocumentBytes) {
    return SettingsError{ aPath,
                          "",
                          "has more than the allowed " +
                            std::to_string(kMaxDocumentBytes) + " bytes" };
  }
  return SourceText{ aPath, std::move(text) };
}

Result<std::string, SettingsError>
MergeOverlays(const SourceText& aBase,
              const std::vector<SiteOverlay>& aOverlays)
{
  try {
    auto base =
      WithFileInErrors(aBase.file, [&] { return ParseJson(aBase.text); });
    auto fleet =
      WithFileInErrors(aBase.file, [&] { return ReadFleet(Reader(base, "")); });
    json::object& document = base.get_object();
    if (!aOverlays.empty() && !document.contains("sites")) {
      document["sites"] = json::object{};
    }
    for (const auto& overlay : aOverlays) {
      WithFileInErrors(overlay.source.file, [&] {
        AddOverlay(overlay, fleet, document["sites"].get_object());
      });
    }
    std::string merged = json::serialize(base);
    ReadFleet(Reader(ParseJson(merged), ""));
    return merged;
  } catch (const ReadFailure& failure) {
    return failure.error;
  }
}

Result<std::vector<Difference>, SettingsError>
DiffDocuments(std::string_view aBefore, std::string_view aAfter)
{
  try {
    json::value before = ParseJson(aBefore);
    json::value after = ParseJson(aAfter);
    std::vector<Difference> differences;
    Diff(&before, &after, "", differences);
    return differences;
  } catch (const ReadFailure& failure) {
    return failure.error;
  }
}

Result<std::string, SettingsError>
FormatPretty(std::string_view aText)
{
  try {
    std::string out;
    WritePretty(ParseJson(aText, kMaxSnapshotBytes), "", out);
    return out + "\n";
  } catch (const ReadFailure& failure) {
    return failure.error;
  }
}

} // namespace lycheestand::settings
