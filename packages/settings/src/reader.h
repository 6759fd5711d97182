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

  const boost::json::object& Object() const;
  const boost::json::array& Array() const;
  std::string String() const;
  bool Bool() const;
  std::int64_t Integer(std::int64_t aMin, std::int64_t aMax) const;

  // Returns the member, if present.
  std::optional<Reader> Find(const char* aName) const;

  // Returns the member, or fails because it is required.
  Reader Get(const char* aName) const;

  // Returns the value as an address.
  Address ReadAddress() const;

  // Fails on a member that is not in the list, and suggests the nearest name.
  void AllowOnly(const std::vector<std::string>& aNames) const;

  const boost::json::value& Value() const { return this->value; }
  const std::string& Pointer() const { return this->pointer; }

private:
  const boost::json::value& value;
  std::string pointer;
};

// Returns the parsed text, or throws ReadFailure with the line and column.
boost::json::value
ParseJson(std::string_view aText);

} // namespace lycheestand::settings

#endif
