#ifndef LYCHEESTAND_TEST_STANDINS_ENGINE_ORDERS_H
#define LYCHEESTAND_TEST_STANDINS_ENGINE_ORDERS_H

// What an engine stand-in has been ordered to be.

#include <boost/json.hpp>
#include <lycheestand/net.h>
#include <set>

namespace lycheestand::standins {

// Takes orders and keeps what is in force.
class EngineOrders
{
public:
  EngineOrders(std::set<std::string> aModels, bool aIgnoresFencing)
    : models(std::move(aModels))
    , ignoresFencing(aIgnoresFencing)
  {
  }

  // An engine that was started without models serves any.
  bool Serves(const std::string& aModel) const
  {
    return this->models.empty() || this->models.contains(aModel);
  }

  boost::json::array Models() const
  {
    return boost::json::array(this->models.begin(), this->models.end());
  }

  net::HttpResponse Take(const std::string& aBody)
  {
    boost::json::error_code error;
    auto order = boost::json::parse(aBody, error);
    const auto* kind = order.find_pointer("/kind", error);
    const auto* argument = order.find_pointer("/argument", error);
    const auto* fencing = order.find_pointer("/fencing", error);
    if (kind == nullptr || argument == nullptr || fencing == nullptr ||
        !kind->is_string() || !argument->is_string()) {
      return { 400, {}, "" };
    }
    auto number = fencing->to_number<std::uint64_t>(error);
    if (number < this->newest && !this->ignoresFencing) {
      return { 409, {}, this->Format() };
    }
    this->newest = number;
    std::string value(argument->get_string());
    if (kind->get_string() == "load_model") {
      this->models.insert(value);
    } else if (kind->get_string() == "load_adapter") {
      this->adapters.insert(value);
    } else if (kind->get_string() == "set_version") {
      this->version = value;
    } else if (kind->get_string() == "set_role") {
      this->role = value;
    } else {
      return { 400, {}, "" };
    }
    ++this->taken;
    return { 200, {}, this->Format() };
  }

  // Returns what is in force and the number of the newest order.
  std::string Format() const
  {
    return boost::json::serialize(boost::json::object{
      { "fencing", this->newest },
      { "models", this->Models() },
      { "adapters",
        boost::json::array(this->adapters.begin(), this->adapters.end()) },
      { "version", this->version },
      { "role", this->role },
      { "taken", this->taken } });
  }

private:
  std::set<std::string> models;
  std::set<std::string> adapters;
  std::string version;
  std::string role;
  bool ignoresFencing = false;
  std::uint64_t newest = 0;
  std::uint64_t taken = 0;
};

} // namespace lycheestand::standins

#endif
