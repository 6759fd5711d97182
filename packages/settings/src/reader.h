#ifndef LYCHEESTAND_SETTINGS_SRC_READER_H
#define LYCHEESTAND_SETTINGS_SRC_READER_H

#include <boost/json.hpp>
#include <lycheestand/settings.h>
#include <string>

namespace lycheestand::settings {

// Raised inside the package; the public functions return it as a value.
struct ReadFailure
{
  SettingsError error;
};

// A JSON value and its place in the document.
class Reader
{
public:
  Reader(const boost::json::value& aValue, std::string aPointer)
    : value(aValue)
    , pointer(std::move(aPointer))
  {
  }

  // Throws ReadFailure for this place.
  [[noreturn]] void Fail(const std::string& aMessage) const;

  // Throws ReadFailure that names the value and what is allowed instead.
  [[noreturn]] void FailValue(const std::string& aAllowed) const;

  const boost::json::object& Object() const;
  const boost::json::array& Array() const;
  std::string String() const;
  bool Bool() const;
  std::int64_t Integer(std::int64_t aMin, std::int64_t aMax) const;

  // Returns a string of 1 to 128 bytes without control characters.
  std::string Name() const;

  // Returns a string that is one of the words.
  std::string OneOf(const std::vector<std::string>& aWords) const;

  // Returns the readers of an array's items.
  std::vector<Reader> Items() const;

  // Returns the member, if present.
  std::optional<Reader> Find(std::string_view aName) const;

  // Returns the member, or fails because it is required.
  Reader Get(std::string_view aName) const;

  // Returns the value as an IP address with a port.
  Address ReadAddress() const;

  // Fails on a member that is not in the list, and suggests the nearest name.
  void AllowOnly(const std::vector<std::string>& aNames) const;

  const std::string& Pointer() const { return this->pointer; }

private:
  const boost::json::value& value;
  std::string pointer;
};

// Returns a suggestion such as "; did you mean "chat"?", or nothing if no name
// is near.
std::string
SuggestName(const std::string& aName, const std::vector<std::string>& aNames);

// Returns a member's name as part of a JSON pointer.
std::string
EscapePointer(std::string_view aName);

// Fails unless an object's member name can serve as an id.
void
CheckMemberName(const Reader& aMember, const std::string& aName);

// Returns the parsed text, or throws ReadFailure with line and column, or with
// the pointer of a key that is given twice or nested too deeply.
boost::json::value
ParseJson(std::string_view aText, std::size_t aMaxBytes = kMaxDocumentBytes);

} // namespace lycheestand::settings

#endif
