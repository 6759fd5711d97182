#include "reader.h"

#include <algorithm>

namespace lycheestand::settings {

namespace {

// Names at most this far apart are taken for a slip of the pen.
constexpr std::size_t kNearDistance = 3;

// Returns the number of single-letter edits between two names.
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

// Returns a member's name as part of a JSON pointer.
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

} // namespace

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

const boost::json::object&
Reader::Object() const
{
  if (!this->value.is_object()) {
    this->Fail("must be an object, not " + boost::json::serialize(this->value));
  }
  return this->value.get_object();
}

const boost::json::array&
Reader::Array() const
{
  if (!this->value.is_array()) {
    this->Fail("must be an array, not " + boost::json::serialize(this->value));
  }
  return this->value.get_array();
}

std::string
Reader::String() const
{
  if (!this->value.is_string()) {
    this->Fail("must be a string, not " + boost::json::serialize(this->value));
  }
  return std::string(this->value.get_string());
}

bool
Reader::Bool() const
{
  if (!this->value.is_bool()) {
    this->Fail("must be true or false, not " +
               boost::json::serialize(this->value));
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
    this->Fail("must be an integer in " + range + ", not " +
               boost::json::serialize(this->value));
  }
  return number;
}

std::optional<Reader>
Reader::Find(const char* aName) const
{
  const auto* member = this->Object().if_contains(aName);
  if (member == nullptr) {
    return std::nullopt;
  }
  return Reader(*member, this->pointer + "/" + EscapePointer(aName));
}

Reader
Reader::Get(const char* aName) const
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
    this->Fail(address.error());
  }
  return address.value();
}

void
Reader::AllowOnly(const std::vector<std::string>& aNames) const
{
  for (const auto& member : this->Object()) {
    std::string name(member.key());
    if (std::find(aNames.begin(), aNames.end(), name) != aNames.end()) {
      continue;
    }
    auto nearest = std::min_element(
      aNames.begin(), aNames.end(), [&](const auto& aLeft, const auto& aRight) {
        return EditDistance(name, aLeft) < EditDistance(name, aRight);
      });
    std::string message = "unknown key \"" + name + "\"";
    if (nearest != aNames.end() &&
        EditDistance(name, *nearest) <= kNearDistance) {
      message += "; did you mean \"" + *nearest + "\"?";
    }
    Reader(member.value(), this->pointer + "/" + EscapePointer(name))
      .Fail(message);
  }
}

boost::json::value
ParseJson(std::string_view aText)
{
  boost::json::error_code error;
  boost::json::stream_parser parser;
  std::size_t read = parser.write_some(aText.data(), aText.size(), error);
  if (!error && read == aText.size()) {
    parser.finish(error);
  } else if (!error) {
    error = boost::json::error::extra_data;
  }
  if (error) {
    auto line = 1 + std::count(aText.begin(), aText.begin() + read, '\n');
    throw ReadFailure{
      { "", "", "line " + std::to_string(line) + ": " + error.message() }
    };
  }
  return parser.release();
}

} // namespace lycheestand::settings
