#include "platform_fleet.h"

#include "fleet_internal.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace lycheestand::faults {

namespace {

constexpr std::uint16_t kFrontPort = 8227;
constexpr std::uint16_t kReadyPort = 8220;
constexpr std::uint16_t kOperatorPort = 8229;
constexpr std::uint16_t kDirectoryPort = 8224;
constexpr std::uint16_t kFirstInternalPort = 7340;
constexpr std::uint16_t kRouterMetricsPort = 9464;
constexpr std::uint16_t kControlMetricsPort = 9465;
constexpr int kZones = 3;
constexpr Duration kCallTimeout = 1s;

std::string
ZoneName(int aMachine)
{
  return "z" + std::to_string((aMachine - 1) % kZones + 1);
}

std::string
MakeDocument(int aVersion)
{
  return json::serialize(json::object{
    { "version", aVersion },
    { "routes",
      json::array{ json::object{ { "name", "r" },
                                 { "host", "h.example" },
                                 { "pathPrefix", "/a/" },
                                 { "kind", "safe" },
                                 { "timeoutMs", 1000 },
                                 { "targetLatencyMs", 100 },
                                 { "service", "s" },
                                 { "maxAttempts", 1 } } } },
    { "services",
      json::array{ json::object{
        { "name", "s" }, { "healthPath", "/health" }, { "maxConns", 10 } } } },
    { "limits", json::object() } });
}

} // namespace

json::object
MakeEngineRoute(const std::string& aName, const char* aKind, bool aIsResumable)
{
  return { { "name", aName },
           { "host", "h.example" },
           { "pathPrefix", "/" + aName + "/" },
           { "kind", aKind },
           { "resumable", aIsResumable },
           { "timeoutMs", 3000 },
           { "targetLatencyMs", 500 },
           { "targetGapMs", 300 },
           { "service", "llm" },
           { "maxAttempts", 2 } };
}

std::string
MakeEngineDocument(json::array aRoutes, std::int64_t aPrepaid)
{
  json::object tenant{ { "name", "w" },
                       { "apiKeys", json::array{ "k" } },
                       { "prepaid", aPrepaid } };
  return MakeEngineDocument(
    1, std::move(aRoutes), json::array{ std::move(tenant) });
}

std::string
MakeEngineDocument(int aVersion, json::array aRoutes, json::array aTenants)
{
  json::object engine{ { "slots", 16 }, { "kvCapacityTokens", 100000 } };
  return json::serialize(json::object{
    { "version", aVersion },
    { "routes", std::move(aRoutes) },
    { "services",
      json::array{ json::object{ { "name", "llm" },
                                 { "healthPath", "/health" },
                                 { "maxConns", 100 },
                                 { "engine", std::move(engine) } } } },
    { "limits", json::object() },
    { "tenants", std::move(aTenants) } });
}

PlatformFleet::PlatformFleet(std::string aCase)
  : name(std::move(aCase))
  , uncaughtExceptions(std::uncaught_exceptions())
{
}

// A failed assertion throws, so the stack is being unwound when the case
// failed.
PlatformFleet::~PlatformFleet()
{
  if (std::getenv("LYCHEESTAND_KEEP_LOGS") != nullptr) {
    this->environment.KeepFolder();
    std::cout << "logs in " << this->environment.Folder() << std::endl;
  }
  if (std::uncaught_exceptions() <= this->uncaughtExceptions) {
    return;
  }
  for (const auto& [machine, process] : this->processes) {
    std::cout << "log of " << process->Name() << " ends with:\n"
              << process->LogTail() << "\n";
  }
  std::cout << "case " << this->name << " result=FAILED, logs in "
            << this->environment.Folder() << std::endl;
  this->environment.KeepFolder();
}

void
PlatformFleet::StartControl(int aMachine, const MachineOptions& aOptions)
{
  this->Start(aMachine, aOptions, "control");
}

void
PlatformFleet::StartRouter(int aMachine, const MachineOptions& aOptions)
{
  this->Start(aMachine, aOptions, "router");
}

std::filesystem::path
PlatformFleet::WriteSettings(int aMachine,
                             const MachineOptions& aOptions,
                             const std::string& aRole)
{
  std::string ip = this->environment.MachineIp(aMachine);
  auto at = [&ip](std::uint16_t aPort) {
    return ToString(Address{ ip, aPort });
  };
  bool isControl = aRole == "control";
  std::string machine = aRole + std::to_string(aMachine);
  json::array seeds;
  for (int seed : aOptions.seeds) {
    seeds.push_back(json::value(
      ToString(Address{ this->environment.MachineIp(seed), kOperatorPort })));
  }
  json::object settings{
    { "nodeName", machine },
    { "role", aRole },
    { "serves",
      isControl ? json::array{ "control" }
                : json::array{ "front", "directory" } },
    { "ip", ip },
    { "zone", ZoneName(aMachine) },
    { "region", "r1" },
    { "listen",
      isControl ? json::object{ { "control", at(kOperatorPort) } }
                : json::object{ { "front", at(kFrontPort) },
                                { "ready", at(kReadyPort) },
                                { "directory", at(kDirectoryPort) } } },
    { "internalPorts", { kFirstInternalPort, kFirstInternalPort + 15 } },
    { "seeds", seeds },
    { "bootstrap", aOptions.bootstrap },
    { "limits", { { "cores", 1 } } },
    { "faultTolerance",
      { { "machines", aOptions.toleratedLosses },
        { "zones", 0 },
        { "regions", 0 } } },
    { "bounds",
      json::object{ { "retryBudgetRatio", 0.2 },
                    { "retrySlack", aOptions.retrySlack } } }
  };
  if (aOptions.memoryMb) {
    settings["limits"].as_object()["memoryMb"] = *aOptions.memoryMb;
  }
  if (!aOptions.zones.empty()) {
    json::object regions;
    for (const auto& zone : aOptions.zones) {
      regions[zone] = "r1";
    }
    settings["zones"] = std::move(regions);
  }
  auto folder = this->environment.Folder() / machine;
  if (aOptions.listAddress) {
    settings["cloud"] = { { "address", ToString(*aOptions.listAddress) } };
  }
  if (isControl && aOptions.hasDisk) {
    std::filesystem::create_directories(folder);
    settings["dataDir"] = folder.string();
  }
  auto file = this->environment.Folder() / (machine + ".json");
  std::ofstream(file) << json::serialize(settings);
  return file;
}

void
PlatformFleet::Reload(int aMachine, const MachineOptions& aOptions)
{
  this->WriteSettings(aMachine, aOptions, this->roles.at(aMachine));
  this->Machine(aMachine).Signal(SIGHUP);
}

void
PlatformFleet::Start(int aMachine,
                     const MachineOptions& aOptions,
                     const std::string& aRole)
{
  auto file = this->WriteSettings(aMachine, aOptions, aRole);
  std::string machine = aRole + std::to_string(aMachine);
  this->roles[aMachine] = aRole;
  auto& process = this->processes[aMachine];
  if (!process) {
    process = std::make_unique<Process>(
      machine,
      this->environment.Folder() / (machine + ".log"),
      std::vector<std::string>{ ProgramPath("lycheestandd"),
                                "--platform",
                                "--settings",
                                file.string() });
  } else if (!process->IsRunning()) {
    process->Start();
  }
}

void
PlatformFleet::KillAll()
{
  for (const auto& [machine, process] : this->processes) {
    process->Signal(SIGKILL);
  }
  for (const auto& [machine, process] : this->processes) {
    process->Kill();
  }
}

void
PlatformFleet::LoseDisk(int aMachine)
{
  std::filesystem::remove_all(this->environment.Folder() /
                              ("control" + std::to_string(aMachine)));
}

std::int64_t
PlatformFleet::ReadMetric(int aMachine,
                          bool aIsControl,
                          const char* aName) const
{
  Address address{ this->environment.MachineIp(aMachine),
                   aIsControl ? kControlMetricsPort : kRouterMetricsPort };
  Call call;
  call.target = "/metrics";
  call.timeout = kCallTimeout;
  std::istringstream lines(Send(address, call).body);
  std::string prefix = std::string(aName) + " ";
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(prefix)) {
      return std::stoll(line.substr(prefix.size()));
    }
  }
  return -1;
}

std::int64_t
PlatformFleet::CountVoters(int aMachine) const
{
  return this->ReadMetric(aMachine, true, "lycheestand_control_voters");
}

bool
PlatformFleet::IsLeader(int aMachine) const
{
  return this->ReadMetric(aMachine, true, "lycheestand_leads") == 1;
}

Reply
PlatformFleet::SendToControl(int aMachine, const Call& aCall) const
{
  constexpr int kMaxRedirects = 2;
  Address address = this->OperatorAddress(aMachine);
  Reply reply = Send(address, aCall);
  for (int i = 0; i < kMaxRedirects && reply.status == 307; ++i) {
    std::string location = reply.headers["Location"];
    std::string_view scheme = "http://";
    auto host = location.substr(scheme.size());
    auto parsed = ParseAddress(host.substr(0, host.find('/')));
    if (parsed.has_error()) {
      break;
    }
    reply = Send(parsed.value(), aCall);
  }
  return reply;
}

unsigned
PlatformFleet::PutConfiguration(int aMachine, int aVersion)
{
  return this->PutDocument(aMachine, MakeDocument(aVersion));
}

unsigned
PlatformFleet::PutDocument(int aMachine, const std::string& aDocument)
{
  Call call;
  call.method = "PUT";
  call.target = "/config";
  call.headers = { { "Content-Type", "application/json" } };
  call.body = aDocument;
  call.timeout = kCallTimeout;
  return this->SendToControl(aMachine, call).status;
}

Reply
PlatformFleet::OrderEvacuation(int aMachine,
                               const std::string& aZone,
                               bool aIsEvacuated) const
{
  constexpr Duration kAckTimeout = 5s;
  Call call;
  call.method = aIsEvacuated ? "POST" : "DELETE";
  call.target = "/evacuate/" + aZone;
  call.timeout = kAckTimeout;
  return this->SendToControl(aMachine, call);
}

std::int64_t
PlatformFleet::ReadVersion(int aMachine)
{
  Call call;
  call.target = "/config";
  call.timeout = kCallTimeout;
  Reply reply = this->SendToControl(aMachine, call);
  json::error_code error;
  auto document = json::parse(reply.body, error);
  if (reply.status != 200 || error || !document.is_object()) {
    return -1;
  }
  return document.as_object().at("version").to_number<std::int64_t>();
}

Address
PlatformFleet::OperatorAddress(int aMachine) const
{
  return { this->environment.MachineIp(aMachine), kOperatorPort };
}

Address
PlatformFleet::CallerAddress(int aMachine) const
{
  return { this->environment.MachineIp(aMachine), kFrontPort };
}

bool
PlatformFleet::IsReady(int aMachine) const
{
  Call call;
  call.target = "/ready";
  call.timeout = kCallTimeout;
  return Send({ this->environment.MachineIp(aMachine), kReadyPort }, call)
           .status == 200;
}

Reply
PlatformFleet::GetFromRouter(int aMachine,
                             Duration aTimeout,
                             const std::string& aTarget) const
{
  Call call;
  call.target = aTarget;
  call.headers = { { "Host", "h.example" }, { "X-Request-Id", "r1" } };
  call.timeout = aTimeout;
  return Send(this->CallerAddress(aMachine), call);
}

} // namespace lycheestand::faults
