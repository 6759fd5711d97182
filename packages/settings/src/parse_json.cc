#include "reader.h"

#include <algorithm>
#include <boost/json/basic_parser_impl.hpp>
#include <set>

// Boost.JSON silently keeps the last of duplicate keys, so that the other
// setting would have no effect. The text is parsed twice: a first pass rejects
// duplicate keys and deep nesting, the second one builds the value.

namespace lycheestand::settings {

namespace json = boost::json;

namespace {

// Limit of the nesting; no section needs more than seven levels.
constexpr std::size_t kMaxDepth = 16;

// A handler for Boost.JSON's parser that checks keys and nesting.
class StructureHandler
{
public:
  // Limits that the parser requires of its handler; none apply here.
  static constexpr std::size_t max_object_size = std::size_t(-1); // NOLINT
  static constexpr std::size_t max_array_size = std::size_t(-1);  // NOLINT
  static constexpr std::size_t max_key_size = std::size_t(-1);    // NOLINT
  static constexpr std::size_t max_string_size = std::size_t(-1); // NOLINT

  // NOLINTBEGIN(readability-identifier-naming): handler interface of
  // Boost.JSON.
  bool on_document_begin(json::error_code&) { return true; }
  bool on_document_end(json::error_code&) { return true; }
  bool on_object_begin(json::error_code& aError) { return this->Open(aError); }
  bool on_object_end(std::size_t, json::error_code&) { return this->Close(); }
  bool on_array_begin(json::error_code& aError)
  {
    bool isOpen = this->Open(aError);
    this->levels.back().isArray = true;
    return isOpen;
  }
  bool on_array_end(std::size_t, json::error_code&) { return this->Close(); }
  bool on_key_part(json::string_view aPart, std::size_t, json::error_code&)
  {
    this->key.append(aPart.data(), aPart.size());
    return true;
  }
  bool on_key(json::string_view aPart, std::size_t, json::error_code& aError)
  {
    this->key.append(aPart.data(), aPart.size());
    Level& level = this->levels.back();
    level.key = std::move(this->key);
    this->key.clear();
    if (!level.keys.insert(level.key).second) {
      return this->Fail(
        "the key \"" + level.key + "\" is given twice; remove one", aError);
    }
    return true;
  }
  bool on_string_part(json::string_view, std::size_t, json::error_code&)
  {
    return true;
  }
  bool on_string(json::string_view, std::size_t, json::error_code&)
  {
    return this->EndValue();
  }
  bool on_number_part(json::string_view, json::error_code&) { return true; }
  bool on_int64(std::int64_t, json::string_view, json::error_code&)
  {
    return this->EndValue();
  }
  bool on_uint64(std::uint64_t, json::string_view, json::error_code&)
  {
    return this->EndValue();
  }
  bool on_double(double, json::string_view, json::error_code&)
  {
    return this->EndValue();
  }
  bool on_bool(bool, json::error_code&) { return this->EndValue(); }
  bool on_null(json::error_code&) { return this->EndValue(); }
  bool on_comment_part(json::string_view, json::error_code&) { return true; }
  bool on_comment(json::string_view, json::error_code&) { return true; }
  // NOLINTEND(readability-identifier-naming)

  // Returns the error that was found; empty if the parser itself failed.
  const std::optional<SettingsError>& Failure() const { return this->failure; }

private:
  struct Level
  {
    bool isArray = false;
    std::size_t index = 0;
    std::string key;
    std::set<std::string> keys;
  };

  bool Open(json::error_code& aError)
  {
    this->levels.emplace_back();
    if (this->levels.size() > kMaxDepth) {
      this->levels.pop_back();
      return this->Fail("is nested deeper than " + std::to_string(kMaxDepth) +
                          " levels",
                        aError);
    }
    return true;
  }

  bool Close()
  {
    this->levels.pop_back();
    return this->EndValue();
  }

  bool EndValue()
  {
    if (!this->levels.empty() && this->levels.back().isArray) {
      ++this->levels.back().index;
    }
    return true;
  }

  bool Fail(const std::string& aMessage, json::error_code& aError)
  {
    std::string pointer;
    for (const auto& level : this->levels) {
      pointer += "/" + (level.isArray ? std::to_string(level.index)
                                      : EscapePointer(level.key));
    }
    this->failure = SettingsError{ "", pointer, aMessage };
    aError = json::error::syntax;
    return false;
  }

  std::vector<Level> levels;
  std::string key;
  std::optional<SettingsError> failure;
};

// Returns "line L, column C" for an offset in a text.
std::string
FormatPosition(std::string_view aText, std::size_t aOffset)
{
  std::string_view before = aText.substr(0, aOffset);
  auto line = 1 + std::count(before.begin(), before.end(), '\n');
  auto start = before.rfind('\n');
  std::size_t column =
    aOffset - (start == std::string_view::npos ? 0 : start + 1) + 1;
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

[[noreturn]] void
FailSyntax(std::string_view aText,
           std::size_t aOffset,
           const std::string& aReason)
{
  throw ReadFailure{
    { "", "", FormatPosition(aText, aOffset) + ": " + aReason }
  };
}

void
CheckStructure(std::string_view aText)
{
  json::parse_options options;
  // Above the handler's limit, so that the handler reports the error first,
  // with a pointer.
  options.max_depth = 2 * kMaxDepth;
  json::basic_parser<StructureHandler> parser(options);
  json::error_code error;
  std::size_t read =
    parser.write_some(false, aText.data(), aText.size(), error);
  if (parser.handler().Failure()) {
    throw ReadFailure{ *parser.handler().Failure() };
  }
  if (error) {
    FailSyntax(aText, read, error.message());
  }
  auto rest = aText.substr(read);
  auto extra = rest.find_first_not_of(" \t\r\n");
  if (extra != std::string_view::npos) {
    FailSyntax(aText, read + extra, "text after the end of the document");
  }
}

} // namespace

json::value
ParseJson(std::string_view aText, std::size_t aMaxBytes)
{
  if (aText.size() > aMaxBytes) {
    throw ReadFailure{ { "",
                         "",
                         "the document has " + std::to_string(aText.size()) +
                           " bytes; at most " + std::to_string(aMaxBytes) +
                           " are allowed" } };
  }
  CheckStructure(aText);
  json::error_code error;
  json::value parsed =
    json::parse(json::string_view(aText.data(), aText.size()), error);
  if (error) {
    FailSyntax(aText, 0, error.message());
  }
  return parsed;
}

} // namespace lycheestand::settings
