#include "fleet.h"
#include "fleet_parts.h"

#include <fstream>
#include <lycheestand/net.h>
#include <stdexcept>

// Addresses, settings and the start of the fleet's processes.

namespace lycheestand::faults {

void
Fleet::MakeAddresses()
{
  auto add = [this](const std::string& aName) {
    this->addresses[aName] = this->place.NextAddress();
  };
  auto link = [this](const std::string& aName, const std::string& aTarget) {
    const Address& target = this->addresses[aTarget];
    this->links[aName] = { this->options.isProxied ? this->place.NextAddress()
                                                   : target,
                           target };
  };
  add("proxy");
  add("platform");
  for (int i = 0; i < this->options.controls; ++i) {
    add(Numbered("c", i));
    add(Numbered("c", i) + "-admin");
  }
  for (int i = 0; i < this->options.routers; ++i) {
    add(Numbered("r", i));
    add(Numbered("r", i) + "-admin");
    this->routerAddresses.push_back(this->addresses[Numbered("r", i)]);
  }
  for (int i = 0; i < this->options.engines; ++i) {
    add(Numbered("e", i));
    link(Numbered("e", i), Numbered("e", i));
  }
  for (int i = 0; i < this->options.records; ++i) {
    add(Numbered("s", i));
    link(Numbered("s", i), Numbered("s", i));
  }
  for (int i = 0; i < this->options.controls; ++i) {
    std::string control = Numbered("c", i);
    for (int k = 0; k < this->options.routers; ++k) {
      link(Numbered("r", k) + "-" + control, control);
    }
    for (int k = 0; k < this->options.controls; ++k) {
      if (k != i) {
        link(Numbered("c", k) + "-" + control, control);
      }
    }
  }
}

std::unique_ptr<Process>
Fleet::Start(const std::string& aName, std::vector<std::string> aCommand) const
{
  return std::make_unique<Process>(
    aName, this->place.Folder() / (aName + ".log"), std::move(aCommand));
}

void
Fleet::StartProxy()
{
  std::vector<std::string> command{ Program("standin_proxy"),
                                    "-a",
                                    ToString(this->addresses["proxy"]) };
  for (const auto& [linkName, ends] : this->links) {
    command.emplace_back("-l");
    command.push_back(linkName + "=" + ToString(ends.first) + "," +
                      ToString(ends.second));
  }
  this->others.push_back(this->Start("proxy", command));
}

// Back ends are listed with the proxy's addresses.
void
Fleet::WritePlatformList() const
{
  json::array list;
  auto add =
    [&](const std::string& aId, const char* aKind, const std::string& aServes) {
      list.push_back({ { "id", aId },
                       { "zone", "z1" },
                       { "address", ToString(this->links.at(aId).first) },
                       { "kind", aKind },
                       { "serves", aServes },
                       { "state", "live" } });
    };
  for (int i = 0; i < this->options.engines; ++i) {
    const auto& serves = this->options.serves;
    add(Numbered("e", i),
        "model",
        serves[static_cast<std::size_t>(i) % serves.size()]);
  }
  for (int i = 0; i < this->options.records; ++i) {
    add(Numbered("s", i), "service", "records");
  }
  std::ofstream(this->place.Folder() / "platform.json")
    << json::serialize(list);
}

void
Fleet::StartBackends()
{
  this->WritePlatformList();
  this->others.push_back(
    this->Start("platform",
                { Program("standin_platform"),
                  "-a",
                  ToString(this->addresses["platform"]),
                  "-f",
                  (this->place.Folder() / "platform.json").string(),
                  "-l",
                  std::to_string(this->options.platformLagMs) }));
  auto start = [this](const std::string& aName,
                      const char* aProgram,
                      const std::vector<std::string>& aArguments) {
    std::vector<std::string> command{ Program(aProgram),
                                      "-a",
                                      ToString(this->addresses[aName]) };
    command.insert(command.end(), aArguments.begin(), aArguments.end());
    return this->Start(aName, command);
  };
  for (int i = 0; i < this->options.engines; ++i) {
    this->engines.push_back(
      start(Numbered("e", i), "standin_engine", this->options.engineArguments));
  }
  for (int i = 0; i < this->options.records; ++i) {
    this->records.push_back(start(
      Numbered("s", i), "standin_records", this->options.recordsArguments));
  }
}

// Returns the control instances as one process reaches them.
json::array
Fleet::ControlMembers(const std::string& aFrom) const
{
  json::array members;
  for (int i = 0; i < this->options.controls; ++i) {
    std::string control = Numbered("c", i);
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
  aSettings["fleet_key_file"] = (this->place.Folder() / "fleet.key").string();
  aSettings["operator_key_hashes"] =
    json::array{ net::HashKey(kOperatorKey).Get() };
  auto file = this->place.Folder() / (aName + ".json");
  std::ofstream(file) << json::serialize(aSettings);
  return file.string();
}

void
Fleet::StartControls()
{
  for (int i = 0; i < this->options.controls; ++i) {
    std::string instance = Numbered("c", i);
    auto data = this->place.Folder() / (instance + "-data");
    std::string file = this->WriteSettings(
      instance,
      { { "role", "control" },
        { "peer_address", ToString(this->addresses[instance]) },
        { "data_folder", data.string() },
        { "platform_list", ToString(this->addresses["platform"]) } });
    this
      ->Start(instance + "-format",
              { Program("lycheestandd"), "--format", "-s", file })
      ->WaitForExit(10s);
    this->controls.push_back(
      this->Start(instance, { Program("lycheestandd"), "-s", file }));
  }
}

void
Fleet::StartRouters()
{
  for (int i = 0; i < this->options.routers; ++i) {
    std::string instance = Numbered("r", i);
    std::string file = this->WriteSettings(
      instance,
      { { "role", "router" },
        { "caller_address", ToString(this->routerAddresses[i]) },
        { "threads", this->options.threads },
        { "entry_keep_ms", this->options.entryKeepMs } });
    this->routers.push_back(
      this->Start(instance, { Program("lycheestandd"), "-s", file }));
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
    throw std::runtime_error("control did not become ready: " +
                             this->controls[0]->LogTail());
  }
  this->Operate("POST",
                "/admin/keys",
                { { "change_id", "first-key" },
                  { "key", "k1" },
                  { "hash", net::HashKey(kCallerKey).Get() },
                  { "workspace", "w1" },
                  { "site", "site" } });
}

} // namespace lycheestand::faults
