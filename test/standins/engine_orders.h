#ifndef LYCHEESTAND_TEST_STANDINS_ENGINE_ORDERS_H
#define LYCHEESTAND_TEST_STANDINS_ENGINE_ORDERS_H

// State of an engine stand-in that the control plane's orders set.

#include <boost/json.hpp>
#include <lycheestand/net.h>
#include <set>

namespace lycheestand::standins {

// Applies orders and stores the resulting state.
class EngineOrders
{
public:
  EngineOrders(std::set<std::string> aModels, bool aIgnoresFencing)
    : models(std::move(aModels))
    , ignoresFencing(aIgnoresFencing)
  {
  }

  // Returns whether the engine serves the model; without a list, it serves all.
  bool Serves(const std::string& aModel) const
  {
    return this->models.empty() || this->models.contains(aModel);
  }

  boost::json::array Models() const
  {
    return boost::json::array(this->models.begin(), this->models.end());
  }

  // Applies the order in a request body. Responds 400 if the order is malformed
  // and 409 if its fencing number is older than the newest one.
  net::HttpResponse Apply(const std::string& aBody)
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
    auto fencingNumber = fencing->to_number<std::uint64_t>(error);
    if (fencingNumber < this->newestFencing && !this->ignoresFencing) {
      return { 409, {}, this->Format() };
    }
    this->newestFencing = fencingNumber;
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
    ++this->appliedCount;
    return { 200, {}, this->Format() };
  }

  // Returns the state and the newest fencing number as JSON.
  std::string Format() const
  {
    return boost::json::serialize(boost::json::object{
      { "fencing", this->newestFencing },
      { "models", this->Models() },
      { "adapters",
        boost::json::array(this->adapters.begin(), this->adapters.end()) },
      { "version", this->version },
      { "role", this->role },
      { "taken", this->appliedCount } });
  }

private:
  std::set<std::string> models;
  std::set<std::string> adapters;
  std::string version;
  std::string role;
  bool ignoresFencing = false;
  std::uint64_t newestFencing = 0;
  std::uint64_t appliedCount = 0;
};

} // namespace lycheestand::standins

#endif
