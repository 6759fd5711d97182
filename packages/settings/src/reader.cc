#include "reader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>

namespace lycheestand::settings {

namespace {

// Names with at most this edit distance are suggested.
constexpr std::size_t kMaxSuggestionDistance = 3;

// An error message quotes at most this many bytes of a value.
constexpr std::size_t kMaxQuotedValueBytes = 80;

constexpr std::size_t kMaxNameBytes = 128;

// Returns the Levenshtein distance of two names.
std::size_t
EditDistance(const std::string& aLeft, const std::string& aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  for (std::size_t j = 0; j < row.size(); ++j) {
    row[j] = j;
  }
  for (std::size_t i = 1; i <= aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= aRight.size(); ++j) {
      std::size_t replaced = diagonal + (aLeft[i - 1] == aRight[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({ row[j] + 1, row[j - 1] + 1, replaced });
    }
  }
  return row.back();
}

// Returns a value for an error message, truncated between UTF-8 characters.
std::string
FormatValue(const boost::json::value& aValue)
{
  std::string text = boost::json::serialize(aValue);
  if (text.size() <= kMaxQuotedValueBytes) {
    return text;
  }
  std::size_t end = kMaxQuotedValueBytes;
  while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0) == 0x80) {
    --end;
  }
  return text.substr(0, end) + "...";
}

// Returns whether a text can be used as an id in URLs, logs and tables.
bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::none_of(aText.begin(), aText.end(), [](unsigned char aByte) {
           return aByte < 0x20 || aByte == 0x7F;
         });
}

const char* const kNameRule =
  "a string of 1 to 128 bytes without control characters";

} // namespace

std::string
EscapePointer(std::string_view aName)
{
  std::string out;
  for (char c : aName) {
    if (c == '~') {
      out += "~0";
    } else if (c == '/') {
      out += "~1";
    } else {
      out += c;
    }
  }
  return out;
}

std::string
SuggestName(const std::string& aName, const std::vector<std::string>& aNames)
{
  auto nearest = std::min_element(
    aNames.begin(), aNames.end(), [&](const auto& aLeft, const auto& aRight) {
      return EditDistance(aName, aLeft) < EditDistance(aName, aRight);
    });
  if (nearest == aNames.end() || aName.size() > kMaxNameBytes ||
      EditDistance(aName, *nearest) > kMaxSuggestionDistance) {
    return "";
  }
  return "; did you mean \"" + *nearest + "\"?";
}

void
CheckMemberName(const Reader& aMember, const std::string& aName)
{
  if (!IsName(aName)) {
    aMember.Fail("the name must be " + std::string(kNameRule));
  }
}

std::string
ToString(const SettingsError& aError)
{
  std::string out;
  if (!aError.file.empty()) {
    out += aError.file + ": ";
  }
  if (!aError.pointer.empty()) {
    out += aError.pointer + ": ";
  }
  return out + aError.message;
}

void
Reader::Fail(const std::string& aMessage) const
{
  throw ReadFailure{ { "", this->pointer, aMessage } };
}

void
Reader::FailInvalidValue(const std::string& aAllowed) const
{
  std::string text = FormatValue(this->value);
  throw ReadFailure{ { "",
                       this->pointer,
                       "must be " + aAllowed + ", not " + text,
                       text,
                       aAllowed } };
}

const boost::json::object&
Reader::Object() const
{
  if (!this->value.is_object()) {
    this->FailInvalidValue("an object");
  }
  return this->value.get_object();
}

const boost::json::array&
Reader::Array() const
{
  if (!this->value.is_array()) {
    this->FailInvalidValue("an array");
  }
  return this->value.get_array();
}

std::string
Reader::String() const
{
  if (!this->value.is_string()) {
    this->FailInvalidValue("a string");
  }
  return std::string(this->value.get_string());
}

bool
Reader::Bool() const
{
  if (!this->value.is_bool()) {
    this->FailInvalidValue("true or false");
  }
  return this->value.get_bool();
}

std::int64_t
Reader::Integer(std::int64_t aMin, std::int64_t aMax) const
{
  const std::string range = std::to_string(aMin) + ".." + std::to_string(aMax);
  boost::json::error_code error;
  auto number = this->value.to_number<std::int64_t>(error);
  if (error || number < aMin || number > aMax) {
    this->FailInvalidValue("an integer in " + range);
  }
  return number;
}

std::string
Reader::Name() const
{
  std::string text = this->String();
  if (!IsName(text)) {
    this->FailInvalidValue(kNameRule);
  }
  return text;
}

std::string
Reader::OneOf(const std::vector<std::string>& aWords) const
{
  std::string text = this->String();
  if (std::find(aWords.begin(), aWords.end(), text) != aWords.end()) {
    return text;
  }
  std::string allowed;
  for (std::size_t i = 0; i < aWords.size(); ++i) {
    allowed += i == 0 ? "" : (i + 1 < aWords.size() ? ", " : " or ");
    allowed += "\"" + aWords[i] + "\"";
  }
  this->FailInvalidValue(allowed);
}

std::vector<Reader>
Reader::Items() const
{
  std::vector<Reader> items;
  for (const auto& item : this->Array()) {
    items.emplace_back(item,
                       this->pointer + "/" + std::to_string(items.size()));
  }
  return items;
}

std::optional<Reader>
Reader::Find(std::string_view aName) const
{
  const auto* member = this->Object().if_contains(
    boost::json::string_view(aName.data(), aName.size()));
  if (member == nullptr) {
    return std::nullopt;
  }
  return Reader(*member, this->pointer + "/" + EscapePointer(aName));
}

Reader
Reader::Get(std::string_view aName) const
{
  auto member = this->Find(aName);
  if (!member) {
    this->Fail("\"" + std::string(aName) + "\" is required");
  }
  return *member;
}

Address
Reader::ReadAddress() const
{
  auto address = ParseAddress(this->String());
  if (address.has_error()) {
    this->FailInvalidValue("an IP address and a port in 1..65535, such as "
                           "\"127.0.0.1:8080\"");
  }
  // Processes connect by IP address; host names are not resolved.
  const std::string& host = address.value().host;
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  if (inet_pton(AF_INET, host.c_str(), bytes.data()) != 1 &&
      inet_pton(AF_INET6, host.c_str(), bytes.data()) != 1) {
    this->FailInvalidValue("an IP address and a port in 1..65535, such as "
                           "\"127.0.0.1:8080\"");
  }
  return address.value();
}

void
Reader::RejectUnknownKeys(const std::vector<std::string>& aNames) const
{
  for (const auto& member : this->Object()) {
    std::string name(member.key());
    if (std::find(aNames.begin(), aNames.end(), name) == aNames.end()) {
      Reader(member.value(), this->pointer + "/" + EscapePointer(name))
        .Fail("unknown key" + SuggestName(name, aNames));
    }
  }
}

} // namespace lycheestand::settings
