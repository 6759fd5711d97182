#ifndef LYCHEESTAND_CONSENSUS_TEST_SIMULATION_H
#define LYCHEESTAND_CONSENSUS_TEST_SIMULATION_H

#include <lycheestand/consensus.h>
#include <random>

namespace lycheestand::consensus {

// A group of nodes with simulated disks, clock and message network. Every
// input checks that there is one leader in each term and that all instances
// apply the same entries.
class Simulation
{
public:
  // How the network treats messages.
  struct Network
  {
    // Chance of loss in a thousand.
    unsigned loss = 0;
    Milliseconds maxDelay{ 2 };
    // Directions in which nothing arrives.
    std::set<std::pair<std::size_t, std::size_t>> cuts;
  };

  struct Host
  {
    InstanceId instance;
    std::optional<Node> node;
    // What is durable, and writes that are not yet.
    Restored disk;
    std::deque<Write> unsynced;
    bool isDiskStalled = false;
    // Commands applied; the state machine.
    std::vector<std::string> applied;
    std::vector<ReadId> confirmed;
    std::size_t installs = 0;
  };

  Simulation(std::size_t aCount, unsigned aSeed);

  // Lets time pass in steps of 10 ms.
  void Run(Milliseconds aTime);
  bool RunUntil(const std::function<bool()>& aDone,
                Milliseconds aLimit = Milliseconds(30000));

  // Returns the leader of the newest term that is up.
  std::optional<std::size_t> Leader() const;
  bool Propose(std::size_t aHost, const std::string& aCommand);
  // Proposes at the leader and waits until that instance has applied it.
  bool Commit(const std::string& aCommand);
  void Read(std::size_t aHost, ReadId aRead);
  void Compact(std::size_t aHost);

  // Stops a process; unsynced writes are lost, but for a random number.
  void Crash(std::size_t aHost);
  void Start(std::size_t aHost);
  // Replaces the disk of a stopped instance by an empty one.
  void LoseDisk(std::size_t aHost);
  void Isolate(std::size_t aHost);
  // Tells all others that their links to an instance have ended.
  void CloseLinks(std::size_t aHost);
  void Sync(std::size_t aHost);

  // Returns whether every instance is up and all its members' lists name the
  // current disks of all of them as voters.
  bool IsWhole() const;
  // Returns whether all instances have applied the same.
  bool IsEqual() const;

  std::uint64_t Random(std::uint64_t aBound);

  Network network;
  // Mean steps until a write is durable.
  std::uint64_t stepsPerSync = 1;
  std::vector<Host> hosts;
  std::size_t heartbeats = 0;
  std::vector<std::string> violations;
  std::map<LogIndex, Entry> committed;

private:
  struct InFlight
  {
    TimePoint due;
    Message message;
  };

  std::size_t IndexOf(const InstanceId& aInstance) const;
  void Take(std::size_t aHost, Effects aEffects);
  void Apply(Host& aHost, const Entry& aEntry);
  void SendAll(std::size_t aHost, std::vector<Message>& aMessages);
  void Deliver();

  std::mt19937_64 random;
  TimePoint now{ std::chrono::seconds(1000) };
  std::vector<InFlight> inFlight;
  std::map<Term, InstanceId> leaders;
  std::uint64_t nextDisk = 1;
};

} // namespace lycheestand::consensus

#endif
