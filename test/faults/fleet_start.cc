#include "fleet.h"
#include "fleet_internal.h"

#include <fstream>
#include <lycheestand/net.h>
#include <stdexcept>

// The part of Fleet that assigns addresses, writes settings and starts
// processes.

namespace lycheestand::faults {

void
Fleet::MakeAddresses()
{
  auto add = [this](const std::string& aName) {
    this->addresses[aName] = this->environment.NextAddress();
  };
  auto link = [this](const std::string& aName, const std::string& aTarget) {
    const Address& target = this->addresses[aTarget];
    this->links[aName] = {
      this->options.isProxied ? this->environment.NextAddress() : target, target
    };
  };
  add("proxy");
  add("platform");
  for (int i = 0; i < this->options.controls; ++i) {
    add(NumberedName("c", i));
    add(NumberedName("c", i) + "-admin");
  }
  for (int i = 0; i < this->options.routers; ++i) {
    add(NumberedName("r", i));
    add(NumberedName("r", i) + "-admin");
    this->routerAddresses.push_back(this->addresses[NumberedName("r", i)]);
  }
  for (int i = 0; i < this->options.engines; ++i) {
    add(NumberedName("e", i));
    link(NumberedName("e", i), NumberedName("e", i));
  }
  for (int i = 0; i < this->options.records; ++i) {
    add(NumberedName("s", i));
    link(NumberedName("s", i), NumberedName("s", i));
  }
  for (int i = 0; i < this->options.controls; ++i) {
    std::string control = NumberedName("c", i);
    for (int k = 0; k < this->options.routers; ++k) {
      link(NumberedName("r", k) + "-" + control, control);
    }
    for (int k = 0; k < this->options.controls; ++k) {
      if (k != i) {
        link(NumberedName("c", k) + "-" + control, control);
      }
    }
  }
}

std::unique_ptr<Process>
Fleet::Start(const std::string& aName, std::vector<std::string> aCommand) const
{
  return std::make_unique<Process>(
    aName, this->environment.Folder() / (aName + ".log"), std::move(aCommand));
}

void
Fleet::StartProxy()
{
  std::vector<std::string> command{ ProgramPath("standin_proxy"),
                                    "-a",
                                    ToString(this->addresses["proxy"]) };
  for (const auto& [linkName, ends] : this->links) {
    command.emplace_back("-l");
    command.push_back(linkName + "=" + ToString(ends.first) + "," +
                      ToString(ends.second));
  }
  this->supportProcesses.push_back(this->Start("proxy", command));
}

// Endpoints are listed with their proxy addresses, so that routers reach them
// through the proxy.
void
Fleet::WritePlatformList() const
{
  json::array list;
  auto addAt = [&](const std::string& aId,
                   const Address& aAddress,
                   const char* aKind,
                   const std::string& aServes) {
    list.push_back({ { "id", aId },
                     { "zone", "z1" },
                     { "address", ToString(aAddress) },
                     { "kind", aKind },
                     { "serves", aServes },
                     { "state", "live" } });
  };
  auto add =
    [&](const std::string& aId, const char* aKind, const std::string& aServes) {
      addAt(aId, this->links.at(aId).first, aKind, aServes);
    };
  const auto& outside = this->options.outsideEngines;
  for (std::size_t i = 0; i < outside.size(); ++i) {
    addAt("x" + std::to_string(i), outside[i], "model", "chat");
  }
  const auto& services = this->options.outsideServices;
  for (std::size_t i = 0; i < services.size(); ++i) {
    addAt("y" + std::to_string(i), services[i], "service", "records");
  }
  for (int i = 0; i < this->options.engines; ++i) {
    const auto& servedModels = this->options.servedModels;
    add(NumberedName("e", i),
        "model",
        servedModels[static_cast<std::size_t>(i) % servedModels.size()]);
  }
  for (int i = 0; i < this->options.records; ++i) {
    add(NumberedName("s", i), "service", "records");
  }
  std::ofstream(this->environment.Folder() / "platform.json")
    << json::serialize(list);
}

void
Fleet::StartBackends()
{
  this->WritePlatformList();
  this->supportProcesses.push_back(
    this->Start("platform",
                { ProgramPath("standin_platform"),
                  "-a",
                  ToString(this->addresses["platform"]),
                  "-f",
                  (this->environment.Folder() / "platform.json").string(),
                  "-l",
                  std::to_string(this->options.platformLagMs) }));
  auto start = [this](const std::string& aName,
                      const char* aProgram,
                      const std::vector<std::string>& aArguments) {
    std::vector<std::string> command{ ProgramPath(aProgram),
                                      "-a",
                                      ToString(this->addresses[aName]) };
    command.insert(command.end(), aArguments.begin(), aArguments.end());
    return this->Start(aName, command);
  };
  for (int i = 0; i < this->options.engines; ++i) {
    this->engines.push_back(start(
      NumberedName("e", i), "standin_engine", this->options.engineArguments));
  }
  for (int i = 0; i < this->options.records; ++i) {
    this->records.push_back(start(
      NumberedName("s", i), "standin_records", this->options.recordsArguments));
  }
}

// Returns the control instances with the proxy addresses that one process uses.
json::array
Fleet::ControlMembers(const std::string& aFrom) const
{
  json::array members;
  for (int i = 0; i < this->options.controls; ++i) {
    std::string control = NumberedName("c", i);
    auto found = this->links.find(aFrom + "-" + control);
    const Address& peer = found == this->links.end()
                            ? this->addresses.at(control)
                            : found->second.first;
    members.push_back(
      { { "instance", control },
        { "peer", ToString(peer) },
        { "admin", ToString(this->addresses.at(control + "-admin")) } });
  }
  return members;
}

std::string
Fleet::WriteSettings(const std::string& aName, json::object aSettings) const
{
  aSettings["instance"] = aName;
  aSettings["zone"] = "z1";
  aSettings["admin_address"] = ToString(this->addresses.at(aName + "-admin"));
  aSettings["control"] = this->ControlMembers(aName);
  aSettings["fleet_key_file"] =
    (this->environment.Folder() / "fleet.key").string();
  aSettings["operator_key_hashes"] =
    json::array{ net::HashKey(kOperatorKey).Get() };
  auto file = this->environment.Folder() / (aName + ".json");
  std::ofstream(file) << json::serialize(aSettings);
  return file.string();
}

void
Fleet::StartControls()
{
  for (int i = 0; i < this->options.controls; ++i) {
    std::string instance = NumberedName("c", i);
    auto data = this->environment.Folder() / (instance + "-data");
    std::string file = this->WriteSettings(
      instance,
      { { "role", "control" },
        { "peer_address", ToString(this->addresses[instance]) },
        { "data_folder", data.string() },
        { "platform_list", ToString(this->addresses["platform"]) } });
    this
      ->Start(instance + "-format",
              { ProgramPath("lycheestandd"), "--format", "-s", file })
      ->WaitForExit(10s);
    this->controls.push_back(
      this->Start(instance, { ProgramPath("lycheestandd"), "-s", file }));
  }
}

void
Fleet::StartRouters()
{
  for (int i = 0; i < this->options.routers; ++i) {
    std::string instance = NumberedName("r", i);
    std::string file = this->WriteSettings(
      instance,
      { { "role", "router" },
        { "caller_address", ToString(this->routerAddresses[i]) },
        { "threads", this->options.threads },
        { "entry_keep_ms", this->options.entryCacheMs } });
    this->routers.push_back(
      this->Start(instance, { ProgramPath("lycheestandd"), "-s", file }));
  }
}

void
Fleet::SetUpWorkspace()
{
  bool isReady = WaitFor(20s, [this] {
    return this->ApplyModels({ "chat" }, 0, "first-configuration").status ==
           200;
  });
  if (!isReady) {
    throw std::runtime_error(
      "control did not apply the first configuration within 20 s; the log "
      "of c0 ends with: " +
      this->controls[0]->LogTail());
  }
  this->SendAdminRequest("POST",
                         "/admin/keys",
                         { { "change_id", "first-key" },
                           { "key", "k1" },
                           { "hash", net::HashKey(kCallerKey).Get() },
                           { "workspace", "w1" },
                           { "site", "site" } });
}

} // namespace lycheestand::faults
