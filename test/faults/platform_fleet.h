#ifndef LYCHEESTAND_TEST_FAULTS_PLATFORM_FLEET_H
#define LYCHEESTAND_TEST_FAULTS_PLATFORM_FLEET_H

// Test fixture that runs processes with the settings files of the users'
// platform: every machine has an IP address of its own, and all use the same
// ports.

#include "http_client.h"

#include <boost/json.hpp>
#include <filesystem>
#include <memory>
#include <optional>

namespace lycheestand::faults {

namespace json = boost::json;

// What the settings file of a machine's process says besides its address.
struct MachineOptions
{
  // Numbers of the machines that are the seeds.
  std::vector<int> seeds;
  // The whole system starts for the first time.
  bool bootstrap = false;
  // The machine has a disk.
  bool hasDisk = true;
  // Number of machines with disks that may be lost at once.
  int toleratedLosses = 1;
  // Memory of the machine; none if the file does not say.
  std::optional<int> memoryMb;
  // Address of the platform's list of replicas.
  std::optional<Address> listAddress;
  // Names of the deployment's availability zones; left out if empty.
  std::vector<std::string> zones;
  // Retries that the fleet may make beyond its share of the requests. The
  // default is enough for cases that need one for each request.
  int retrySlack = 1200;
};

// Returns a route of a configuration: the host is "h.example", the prefix the
// name between slashes, the service "llm", and two replicas may be tried.
json::object
MakeEngineRoute(const std::string& aName, const char* aKind, bool aIsResumable);

// Returns version 1 of a configuration with these routes, the service "llm",
// and a workspace with the key "k" that may spend aPrepaid tokens.
std::string
MakeEngineDocument(json::array aRoutes, std::int64_t aPrepaid);

// Returns a configuration with these routes and workspaces, and the service
// "llm".
std::string
MakeEngineDocument(int aVersion, json::array aRoutes, json::array aTenants);

// Machines are numbered from 1. A machine runs one process, which is control or
// a router. Machines 1, 2 and 3 are in different availability zones, and so on
// in turn.
class PlatformFleet
{
public:
  explicit PlatformFleet(std::string aCase);
  ~PlatformFleet();
  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;

  // Writes the settings file of a machine and starts its process. A process
  // that runs is not started again.
  void StartControl(int aMachine, const MachineOptions& aOptions);
  void StartRouter(int aMachine, const MachineOptions& aOptions);
  // Writes the settings file of a machine whose process runs, which then gets
  // SIGHUP.
  void Reload(int aMachine, const MachineOptions& aOptions);
  Process& Machine(int aMachine) { return *this->processes.at(aMachine); }
  void KillAll();
  // Deletes the disk of a machine, whose process must not be running.
  void LoseDisk(int aMachine);

  // Returns the number of voters that a control instance knows, or -1 if it
  // does not answer.
  std::int64_t CountVoters(int aMachine) const;
  // Returns whether a control instance leads its group.
  bool IsLeader(int aMachine) const;
  // Returns the value of a metric without labels, or -1.
  std::int64_t ReadMetric(int aMachine,
                          bool aIsControl,
                          const char* aName) const;

  // Returns the IP address of a machine without a process of this fleet.
  std::string MachineIp(int aMachine) const
  {
    return this->environment.MachineIp(aMachine);
  }

  // Sends a configuration with one route to a control instance, follows
  // redirects as an operator does, and returns the status.
  unsigned PutConfiguration(int aMachine, int aVersion);
  // The same with the configuration's text.
  unsigned PutDocument(int aMachine, const std::string& aDocument);
  // Orders or revokes the evacuation of a zone at a control instance, and
  // follows redirects.
  Reply OrderEvacuation(int aMachine,
                        const std::string& aZone,
                        bool aIsEvacuated = true) const;
  // Sends a request of an operator; follows up to two redirects.
  Reply SendToControl(int aMachine, const Call& aCall) const;
  // Returns the version of the configuration that an operator reads at a
  // control instance, or -1.
  std::int64_t ReadVersion(int aMachine);
  // Returns the address at which a router serves callers.
  Address CallerAddress(int aMachine) const;
  // Returns the address at which a control instance serves operators.
  Address OperatorAddress(int aMachine) const;
  // Returns whether a router says that it is ready.
  bool IsReady(int aMachine) const;
  // Sends a GET request to a router; the default target is on the route of the
  // configuration.
  Reply GetFromRouter(int aMachine,
                      Duration aTimeout = 5s,
                      const std::string& aTarget = "/a/1") const;

private:
  void Start(int aMachine,
             const MachineOptions& aOptions,
             const std::string& aRole);
  // Writes the settings file of a process and returns its path.
  std::filesystem::path WriteSettings(int aMachine,
                                      const MachineOptions& aOptions,
                                      const std::string& aRole);

  std::string name;
  TestEnvironment environment;
  std::map<int, std::unique_ptr<Process>> processes;
  std::map<int, std::string> roles;
  int uncaughtExceptions;
};

} // namespace lycheestand::faults

#endif
