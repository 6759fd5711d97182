#ifndef LYCHEESTAND_TEST_FAULTS_CALLER_FLOOD_H
#define LYCHEESTAND_TEST_FAULTS_CALLER_FLOOD_H

// Callers that keep a fixed request rate, however slowly they are answered.

#include "http_client.h"

#include <boost/asio/steady_timer.hpp>
#include <thread>

namespace lycheestand::faults {

// How the requests of a flood ended.
struct FloodResult
{
  int answered = 0;
  // The connection was refused, so the caller could try another address at
  // once.
  int refused = 0;
  // The caller got no answer in time and closed the connection.
  int gaveUp = 0;
};

// Sends requests at a fixed rate from its construction until Stop, each on a
// connection of its own. A caller gives up when it has no answer in time.
class CallerFlood
{
public:
  CallerFlood(const Address& aAddress,
              const std::string& aTarget,
              int aRequestsPerSecond,
              Duration aPatience);
  ~CallerFlood();
  CallerFlood(const CallerFlood&) = delete;
  CallerFlood& operator=(const CallerFlood&) = delete;

  // Ends all requests in progress; only the first call has an effect.
  FloodResult Stop();

private:
  void SendNext();

  boost::asio::ip::tcp::endpoint endpoint;
  std::string target;
  Duration interval;
  Duration patience;
  boost::asio::io_context io;
  boost::asio::steady_timer timer;
  int sent = 0;
  FloodResult result;
  std::thread thread;
};

} // namespace lycheestand::faults

#endif
