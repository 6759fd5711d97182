#ifndef LYCHEESTAND_SETTINGS_SRC_READER_H
#define LYCHEESTAND_SETTINGS_SRC_READER_H

#include <boost/json.hpp>
#include <lycheestand/settings.h>
#include <string>

namespace lycheestand::settings {

// Thrown inside the package; the public functions return the error as a value.
struct ReadFailure
{
  SettingsError error;
};

// A JSON value and its pointer in the document. The value must outlive the
// reader. The functions throw ReadFailure if the value isn't as required.
class Reader
{
public:
  Reader(const boost::json::value& aValue, std::string aPointer)
    : value(aValue)
    , pointer(std::move(aPointer))
  {
  }

  // Throws ReadFailure with this value's pointer.
  [[noreturn]] void Fail(const std::string& aMessage) const;

  // Throws ReadFailure with the value and what is allowed instead.
  [[noreturn]] void FailInvalidValue(const std::string& aAllowed) const;

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

  // Returns the member; fails if it is missing.
  Reader Get(std::string_view aName) const;

  // Returns the value as an IP address with a port.
  Address ReadAddress() const;

  // Fails if a member isn't in the list, and suggests the most similar name.
  void RejectUnknownKeys(const std::vector<std::string>& aNames) const;

  const std::string& Pointer() const { return this->pointer; }

private:
  const boost::json::value& value;
  std::string pointer;
};

// Returns a suggestion such as "; did you mean "chat"?", or an empty string if
// no name is similar.
std::string
SuggestName(const std::string& aName, const std::vector<std::string>& aNames);

// Returns a member's name, escaped as part of a JSON pointer (RFC 6901).
std::string
EscapePointer(std::string_view aName);

// Throws ReadFailure if an object's member name can't be used as an id.
void
CheckMemberName(const Reader& aMember, const std::string& aName);

// Returns the parsed text. Throws ReadFailure with line and column for a syntax
// error, or with a pointer for a duplicate key or a value that is nested too
// deeply.
boost::json::value
ParseJson(std::string_view aText, std::size_t aMaxBytes = kMaxDocumentBytes);

} // namespace lycheestand::settings

#endif
