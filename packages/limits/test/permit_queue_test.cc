#include <catch2/catch.hpp>
#include <lycheestand/limits.h>

using namespace lycheestand;
using namespace lycheestand::limits;

namespace {

WaitingRequest
MakeRequest(std::uint64_t aNumber)
{
  return WaitingRequest(aNumber);
}

// A queue in contact with control, which has told a limit of 4 requests a
// second.
class PermitQueueFixture
{
public:
  PermitQueueFixture()
  {
    this->queue.SetSource(PermitSource::Control, this->now);
    this->queue.SetLimits({ { this->endpoint, RequestRate(4) } }, this->now);
    this->Advance(std::chrono::seconds(2));
  }

  void Advance(Duration aTime) { this->now += aTime; }

  bool Observe(std::optional<double> aLimit, Duration aAge = {})
  {
    auto limit = aLimit ? std::optional(RequestRate(*aLimit)) : std::nullopt;
    return this->queue.Observe(
      this->endpoint, limit, this->now - aAge, this->now);
  }

  std::optional<RequestRate> Limit() const
  {
    return this->queue.FindLimit(this->endpoint, this->now);
  }

  // Sends requests one after the other, each with a permit, for a second.
  void UsePermits(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      this->queue.Add(this->endpoint, MakeRequest(1000 + i));
      this->queue.HandleReply(this->endpoint, 1, this->now);
      this->Advance(std::chrono::seconds(1) / aCount);
    }
  }

  EndpointId endpoint{ "e" };
  TimePoint now{ std::chrono::hours(1) };
  PermitQueue queue;
};

} // namespace

// Guards against a message to control for each request of a burst.
TEST_CASE_METHOD(PermitQueueFixture, "requests that wait share a reply")
{
  CHECK(this->queue.Add(this->endpoint, MakeRequest(1)) == 1);
  CHECK(this->queue.Add(this->endpoint, MakeRequest(2)) == 0);
  CHECK(this->queue.Add(this->endpoint, MakeRequest(3)) == 0);
  auto decision = this->queue.HandleReply(this->endpoint, 1, this->now);
  CHECK(decision.granted == std::vector{ MakeRequest(1) });
  CHECK(decision.denied.empty());
  CHECK(decision.wanted == 2);
}

// Guards against requests that are held although there are no permits.
TEST_CASE_METHOD(PermitQueueFixture, "a denial ends the wait of all requests")
{
  this->queue.Add(this->endpoint, MakeRequest(1));
  this->queue.Add(this->endpoint, MakeRequest(2));
  auto decision = this->queue.HandleReply(this->endpoint, 0, this->now);
  CHECK(decision.denied == std::vector{ MakeRequest(1), MakeRequest(2) });
  CHECK(decision.wanted == 0);
}

// Guards against a permit that is given to a request which has ended.
TEST_CASE_METHOD(PermitQueueFixture, "a request that has ended gets no permit")
{
  this->queue.Add(this->endpoint, MakeRequest(1));
  CHECK(this->queue.Remove(this->endpoint, MakeRequest(1)));
  CHECK_FALSE(this->queue.Remove(this->endpoint, MakeRequest(1)));
  CHECK(this->queue.HandleReply(this->endpoint, 1, this->now).granted.empty());
}

// Guards against a report to control, and so a message to all routers, for each
// answer.
TEST_CASE_METHOD(PermitQueueFixture, "only a changed limit is reported")
{
  CHECK_FALSE(this->Observe(4.1));
  CHECK(this->Observe(8));
  CHECK_FALSE(this->Observe(8));
  CHECK(this->Limit() == RequestRate(8));
}

// Guards against a message from before the observation that undoes it, and
// against a router that keeps to its own observation for ever.
TEST_CASE_METHOD(PermitQueueFixture,
                 "an observation goes before control for a short time")
{
  this->Observe(8);
  this->queue.SetLimits({ { this->endpoint, RequestRate(4) } }, this->now);
  CHECK(this->Limit() == RequestRate(8));
  this->Advance(std::chrono::seconds(2));
  CHECK(this->Limit() == RequestRate(4));
}

// Guards against a limit that is lifted by an answer to a request from before.
TEST_CASE_METHOD(PermitQueueFixture,
                 "an answer to an older request does not end a limit")
{
  CHECK_FALSE(this->Observe(std::nullopt, std::chrono::seconds(3)));
  CHECK(this->Limit() == RequestRate(4));
  CHECK(this->Observe(std::nullopt, std::chrono::seconds(1)));
  CHECK_FALSE(this->queue.NeedsPermit(this->endpoint, this->now));
}

// Guards against a router without control that sends at its former rate or
// more, while control gives its part to others.
TEST_CASE_METHOD(PermitQueueFixture,
                 "without control half of the former rate is sent")
{
  for (int second = 0; second < 4; ++second) {
    this->UsePermits(3);
  }
  this->queue.SetSource(PermitSource::Local, this->now);
  CHECK_FALSE(this->queue.TakeLocal(this->endpoint, this->now));
  int taken = 0;
  for (int i = 0; i < 4000; ++i) {
    this->Advance(std::chrono::milliseconds(1));
    taken += this->queue.TakeLocal(this->endpoint, this->now) ? 1 : 0;
  }
  CHECK(taken >= 5);
  CHECK(taken <= 6);
}

// Guards against a router that starts without control and adds requests of its
// own.
TEST_CASE_METHOD(PermitQueueFixture,
                 "a router that was granted nothing has no permits of its own")
{
  this->queue.SetSource(PermitSource::Local, this->now);
  this->Advance(std::chrono::seconds(60));
  CHECK_FALSE(this->queue.TakeLocal(this->endpoint, this->now));
}

// Guards against requests that wait for a leader that is gone.
TEST_CASE_METHOD(PermitQueueFixture,
                 "a new source ends the wait of all requests")
{
  this->queue.Add(this->endpoint, MakeRequest(1));
  CHECK(this->queue.SetSource(PermitSource::Local, this->now) ==
        std::vector{ MakeRequest(1) });
  CHECK(this->queue.KnownLimits(this->now).size() == 1);
}
