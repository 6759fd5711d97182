#ifndef LYCHEESTAND_CONSENSUS_TEST_SIMULATION_H
#define LYCHEESTAND_CONSENSUS_TEST_SIMULATION_H

#include <lycheestand/consensus.h>
#include <random>

namespace lycheestand::consensus {

// A group of nodes with a simulated clock, network and disks. After every input
// it checks that each term has at most one leader and that all instances apply
// the same entries; failures are added to violations.
class Simulation
{
public:
  // Faults of the simulated network.
  struct Network
  {
    unsigned lossPerMille = 0;
    Milliseconds maxDelay{ 2 };
    // Pairs of sender and receiver between which all messages are lost.
    std::set<std::pair<std::size_t, std::size_t>> blockedLinks;
  };

  // Which instances form the group, and how many of all become voters.
  struct Size
  {
    std::size_t founders = 3;
    std::size_t maxVoters = 3;
    // Instances are spread over this many availability zones in turn.
    std::size_t zones = 1;
  };

  struct Host
  {
    InstanceId instance;
    std::optional<Node> node;
    // Durable data, and writes that are not yet durable.
    RecoveredState disk;
    std::deque<Write> unsynced;
    bool isDiskStalled = false;
    // The state machine: all applied commands, in order.
    std::vector<std::string> applied;
    std::vector<ReadId> confirmedReads;
    std::size_t snapshotInstalls = 0;
  };

  // All instances are founders and voters.
  Simulation(std::size_t aCount, unsigned aSeed);
  Simulation(std::size_t aCount, unsigned aSeed, Size aSize);

  // Advances the clock in steps of 10 ms.
  void Run(Milliseconds aTime);
  bool RunUntil(const std::function<bool()>& aDone,
                Milliseconds aLimit = Milliseconds(30000));

  // Returns the leader with the highest term among the running instances.
  std::optional<std::size_t> Leader() const;
  bool Propose(std::size_t aHost, const std::string& aCommand);
  // Proposes at the leader and waits until the leader has applied the command.
  bool Commit(const std::string& aCommand);
  void Read(std::size_t aHost, ReadId aRead);
  void Compact(std::size_t aHost);

  // Stops a process. A random number of its unsynced writes, the oldest ones,
  // become durable; the others are lost.
  void Crash(std::size_t aHost);
  void Start(std::size_t aHost);
  // Replaces the disk of a stopped instance by an empty one.
  void LoseDisk(std::size_t aHost);
  void Isolate(std::size_t aHost);
  // Reports to all other running instances that their connections to this one
  // have closed.
  void CloseConnections(std::size_t aHost);
  void Sync(std::size_t aHost);

  // Adds an instance with an empty disk, which is not running yet; returns its
  // index.
  std::size_t AddHost();

  // Returns whether every instance is running and has a configuration in which
  // the current disks of all instances are voters.
  bool HasAllVoters() const;
  // Returns whether the group has all its voters and they are running, and all
  // running instances are members and agree on the members, which are
  // committed.
  bool HasFullGroup() const;
  // Returns whether all instances have applied the same commands.
  bool HasConverged() const;

  std::uint64_t Random(std::uint64_t aBound);

  Network network;
  // Mean number of steps until a write is durable.
  std::uint64_t stepsPerSync = 1;
  std::vector<Host> hosts;
  // Messages sent so far.
  std::size_t heartbeats = 0;
  std::size_t appends = 0;
  std::vector<std::string> violations;
  std::map<LogIndex, Entry> committed;

private:
  struct InFlight
  {
    TimePoint due;
    Message message;
  };

  std::size_t IndexOf(const InstanceId& aInstance) const;
  void ConnectAll(std::size_t aHost);
  void HandleEffects(std::size_t aHost, Effects aEffects);
  void Apply(Host& aHost, const Entry& aEntry);
  void SendAll(std::size_t aHost, std::vector<Message>& aMessages);
  void Deliver();

  Size size;
  std::mt19937_64 random;
  TimePoint now{ std::chrono::seconds(1000) };
  std::vector<InFlight> inFlight;
  std::map<Term, InstanceId> leaders;
  std::uint64_t nextDisk = 1;
};

} // namespace lycheestand::consensus

#endif
