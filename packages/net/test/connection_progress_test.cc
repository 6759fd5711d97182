#include "connection_progress.h"

#include <catch2/catch.hpp>

using namespace lycheestand;
using namespace lycheestand::net;
using namespace std::chrono_literals;

namespace {

const TimePoint kBegin{ 100s };

} // namespace

// Guards against callers that hold a connection for hours with single bytes,
// and against a large body that is cut although it arrives steadily.
TEST_CASE("A request may take longer the larger it is")
{
  HttpServerOptions options;
  options.requestTimeout = 20s;
  ConnectionProgress progress;
  progress.RecordReceived(true, kBegin);
  std::size_t received = 0;
  // The platform's largest body at 16 kB a second, with pauses of 12 s.
  for (auto at = 12s; received < 4'194'304; at += 12s) {
    CHECK_FALSE(progress.IsRequestLate(true, received, options, kBegin + at));
    progress.RecordReceived(false, kBegin + at);
    received += 12 * 16 * 1024;
  }
  progress.RecordReceived(true, kBegin);
  progress.RecordReceived(false, kBegin + 50s);
  CHECK_FALSE(progress.IsRequestLate(true, 100, options, kBegin + 59s));
  CHECK(progress.IsRequestLate(true, 100, options, kBegin + 61s));
}

// Guards against callers that keep memory by moving single bytes.
TEST_CASE("Single bytes are no progress")
{
  ConnectionProgress progress;
  progress.Restart(kBegin);
  progress.RecordBytes(1, kBegin + 1900ms);
  CHECK_FALSE(progress.IsStalled(kBegin + 1900ms));
  CHECK(progress.IsStalled(kBegin + 2s));
  progress.RecordBytes(5000, kBegin + 2s);
  CHECK_FALSE(progress.IsStalled(kBegin + 3s));
}
