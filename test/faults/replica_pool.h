#ifndef LYCHEESTAND_TEST_FAULTS_REPLICA_POOL_H
#define LYCHEESTAND_TEST_FAULTS_REPLICA_POOL_H

// Replicas of the users' platform that answer as a test says, and the
// platform's list of them.

#include "process.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lycheestand::faults {

// A request as a replica has read it.
struct ReplicaRequest
{
  std::string method;
  std::string target;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  // Id and software version of the replica that has read it.
  std::string instance;
  std::string version;

  // Returns the value of a header, or an empty string.
  std::string Header(const std::string& aName) const;
};

// The bytes that a replica sends for a request.
struct ReplicaAnswer
{
  enum class End
  {
    // The connection is kept for the next request.
    Keep,
    Close,
    // The replica closes its sending side, reads the rest of the request, and
    // closes the connection then.
    CloseAfterRequest,
    Reset,
    // The process of the replica ends: all its connections are closed, and new
    // ones are refused until it is back.
    Crash
  };

  // Sent one after the other with a pause before each, so that the receiver
  // reads them separately.
  std::vector<std::string> pieces;
  Duration pause{};
  End end = End::Keep;
  // Sent when the head of the next request on the connection has arrived,
  // before its answer.
  std::string nextHead;
  // Sent after the pieces, again and again until the connection is closed, with
  // the pause before each.
  std::string endless;
};

// An answer that never ends, by the name of its part without an end. With a
// pause it arrives slowly, otherwise as fast as it is read.
std::map<std::string, ReplicaAnswer>
MakeEndlessAnswers(const ReplicaRequest& aRequest, Duration aPause);

// Returns an answer with a length, and with the headers that name its request
// and sign it.
std::string
MakeAnswer(unsigned aStatus,
           const ReplicaRequest& aRequest,
           const std::string& aBody,
           const std::string& aMoreHeaders = "");

// Returns the head of a success with neither a length nor chunks, which ends
// with its connection.
std::string
MakeHeadWithoutLength(const ReplicaRequest& aRequest);

// Returns the head of a stream of events. It has neither a length nor chunks,
// so it ends with its connection.
std::string
MakeStreamHead(const ReplicaRequest& aRequest);

// Returns the head of a stream in chunks; the last chunk is empty.
std::string
MakeChunkedHead(const ReplicaRequest& aRequest);
std::string
MakeChunk(const std::string& aText);

// Returns an event of a stream.
std::string
MakeEvent(int aId);

// A whole answer of three events in chunks, with its head.
ReplicaAnswer
MakeStream(const ReplicaRequest& aRequest);

// Runs the replicas in a thread. The answer is chosen in that thread.
class ReplicaPool
{
public:
  using Answer =
    std::function<ReplicaAnswer(int aReplica, const ReplicaRequest& aRequest)>;

  // The replicas and the list listen at addresses with these IPs; the service
  // has this name. A replica that crashed is back after aDownTime.
  ReplicaPool(const std::vector<std::string>& aReplicaIps,
              const std::string& aListIp,
              const std::string& aService,
              Duration aDownTime,
              Answer aAnswer);
  ~ReplicaPool();
  ReplicaPool(const ReplicaPool&) = delete;
  ReplicaPool& operator=(const ReplicaPool&) = delete;

  // Address of the platform's list.
  Address ListAddress() const;

  // Stops a replica for this time, as SIGSTOP does with its process: its system
  // still accepts connections and bytes, and all that has arrived is handled
  // afterwards. A later call while it is stopped can only extend the time.
  void Silence(int aReplica, Duration aTime);

  // Starts another replica and returns its number. This function and the four
  // below return when it has taken effect; they must not be called by a hook.
  int Add(const std::string& aIp, const std::string& aVersion);
  // The list says from now on that a replica is draining; it still answers.
  void Drain(int aReplica);
  // Ends a replica whose entry the list shows until it is back.
  void Kill(int aReplica);
  // Ends a replica and takes its entry out of the list.
  void Remove(int aReplica);
  // Starts a replica again that was removed, with this version.
  void Start(int aReplica, const std::string& aVersion);

  // Replicas answer requests on new connections from now on as soon as the head
  // is there, and read nothing of the body until the answer is sent. Little of
  // it fits into the system's buffer meanwhile.
  void AnswerEarly();

  // Sets a hook that returns the further members of a replica's entry in the
  // list; one that is null takes the member out. It is called in the pool's
  // thread.
  void SetEntryMembers(std::function<boost::json::object(int aReplica)> aHook);

private:
  class Replica;
  class Connection;
  class ListServer;

  // Calls a function for a replica in the pool's thread.
  void Change(int aReplica, const std::function<void(Replica&)>& aChange);

  boost::asio::io_context io;
  // Keeps the thread running while no replica listens.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  Duration downTime;
  Answer answer;
  bool answersEarly = false;
  std::function<boost::json::object(int aReplica)> entryMembers;
  std::vector<std::shared_ptr<Replica>> replicas;
  std::shared_ptr<ListServer> list;
  std::thread thread;
};

} // namespace lycheestand::faults

#endif
