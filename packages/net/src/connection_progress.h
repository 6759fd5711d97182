#ifndef LYCHEESTAND_NET_SRC_CONNECTION_PROGRESS_H
#define LYCHEESTAND_NET_SRC_CONNECTION_PROGRESS_H

// When a connection's caller is too slow. The code does no I/O.

#include <lycheestand/net.h>

namespace lycheestand::net {

class ConnectionProgress
{
public:
  // Called when the connection begins to wait for something else.
  void Restart(TimePoint aNow);
  // Called when bytes were read or written. A caller that moves single bytes
  // makes no progress.
  void RecordBytes(std::size_t aBytes, TimePoint aNow);
  // Called when bytes of a request were read; the first ones begin it.
  void RecordReceived(bool aIsFirst, TimePoint aNow);

  Duration SinceProgress(TimePoint aNow) const
  {
    return aNow - this->lastProgress;
  }

  // Time since the first byte of the latest request.
  Duration SinceRequest(TimePoint aNow) const
  {
    return aNow - this->requestStartedAt;
  }

  // Returns whether a request that has begun arrives too slowly. aReceived is
  // the number of its bytes so far.
  bool IsRequestLate(bool aHasHeader,
                     std::size_t aReceived,
                     const HttpServerOptions& aOptions,
                     TimePoint aNow) const;

  // Returns whether a connection that waits for its caller gives up its memory
  // to others.
  bool IsStalled(TimePoint aNow) const;

private:
  TimePoint lastProgress;
  TimePoint requestStartedAt;
  TimePoint lastReceivedAt;
  std::size_t progressBytes = 0;
};

} // namespace lycheestand::net

#endif
