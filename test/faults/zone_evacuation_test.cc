// Evacuations of availability zones on the users' platform: replicas of an
// evacuated zone get no requests, whatever happens to control.

#include "fleet.h"
#include "platform_fleet.h"
#include "replica_pool.h"

#include <atomic>
#include <catch2/catch.hpp>

namespace lycheestand::faults {

namespace {

// Time within which the fleet serves after its start, and within which a
// control group of five has formed or elects a leader.
constexpr Duration kZonesServeTime = 60s;

// Time from the acknowledgement of an order until no request reaches the zone
// ("evacuateMs").
constexpr Duration kEvacuateTime = 5s;

// Five control instances, of which two may be lost, a router in each zone, and
// the replicas 0, 1 and 2 in the zones z1, z2 and z3.
class ZoneEvacuationFixture
{
public:
  static constexpr std::array kControls{ 1, 2, 3, 4, 5 };
  static constexpr std::array kRouters{ 10, 11, 12 };
  static constexpr int kZoneReplicas = 3;

  ZoneEvacuationFixture()
    : pool(this->ReplicaIps(),
           this->fleet.MachineIp(120),
           "llm",
           60s,
           [this](int aReplica, const ReplicaRequest& aRequest) {
             ++this->arrivals[aReplica];
             std::lock_guard lock(this->mutex);
             return this->answer(aRequest);
           })
  {
    this->SetAnswer([](const ReplicaRequest& aRequest) {
      return ReplicaAnswer{ { MakeAnswer(200, aRequest, "sound") } };
    });
    this->StartAll(true);
    json::array routes{ MakeEngineRoute("safe", "safe", false),
                        MakeEngineRoute("resumable", "streaming", true) };
    REQUIRE(WaitFor(kZonesServeTime, [&] {
      return this->fleet.PutDocument(
               1, MakeEngineDocument(routes, 100'000'000)) == 200;
    }));
    REQUIRE(WaitFor(kZonesServeTime,
                    [this] { return this->fleet.CountVoters(1) == 5; }));
    this->WaitUntilServing();
  }

  void StartAll(bool aIsFirstStart)
  {
    for (int machine : kControls) {
      this->fleet.StartControl(machine, this->Options(aIsFirstStart));
    }
    for (int machine : kRouters) {
      this->fleet.StartRouter(machine, this->Options(false));
    }
  }

  MachineOptions Options(bool aIsFirstStart) const
  {
    MachineOptions options;
    options.seeds = { 1, 2, 3 };
    options.bootstrap = aIsFirstStart;
    options.toleratedLosses = 2;
    options.listAddress = this->pool.ListAddress();
    options.zones = { "z1", "z2", "z3", "z4" };
    return options;
  }

  // Sets how replicas answer from now on.
  void SetAnswer(std::function<ReplicaAnswer(const ReplicaRequest&)> aAnswer)
  {
    std::lock_guard lock(this->mutex);
    this->answer = std::move(aAnswer);
  }

  void WaitUntilServing()
  {
    for (int router : kRouters) {
      REQUIRE(WaitFor(kZonesServeTime, [this, router] {
        return this->Send(router, "/safe/1").status == 200;
      }));
    }
  }

  Reply Send(int aRouter, const std::string& aTarget)
  {
    Call call;
    call.method = "POST";
    call.target = aTarget;
    call.headers = { { "Host", "h.example" },
                     { "X-Request-Id", "q" + std::to_string(++this->requests) },
                     { "X-Key", "k" },
                     { "X-Deadline-Ms", "3000" } };
    call.body = "{}";
    call.timeout = 5s;
    return faults::Send(this->fleet.CallerAddress(aRouter), call);
  }

  // Sends this many requests to each router; returns how many got each status.
  std::map<unsigned, int> SendAll(int aCount, const std::string& aTarget)
  {
    std::map<unsigned, int> statuses;
    for (int i = 0; i < aCount; ++i) {
      for (int router : kRouters) {
        ++statuses[this->Send(router, aTarget).status];
      }
    }
    return statuses;
  }

  // Sends an order as an operator does: again while there is no clear answer,
  // as while a leader is elected.
  Reply Order(int aMachine, const std::string& aZone, bool aIsEvacuated = true)
  {
    Reply reply;
    WaitFor(kZonesServeTime, [&] {
      reply = this->fleet.OrderEvacuation(aMachine, aZone, aIsEvacuated);
      return reply.status != 0 && reply.status != 503;
    });
    return reply;
  }

  int FindZoneLeader() const
  {
    for (int machine : kControls) {
      if (this->fleet.IsLeader(machine)) {
        return machine;
      }
    }
    return -1;
  }

  // Waits until every router shows this number of evacuated zones.
  bool AllRoutersShow(std::int64_t aZones)
  {
    return WaitFor(kEvacuateTime, [this, aZones] {
      return std::all_of(kRouters.begin(), kRouters.end(), [&](int aRouter) {
        return this->fleet.ReadMetric(
                 aRouter, false, "lycheestand_evacuated_zones") == aZones;
      });
    });
  }

  PlatformFleet fleet{ "zone-evacuation" };
  // Requests that reached each replica.
  std::array<std::atomic<int>, kZoneReplicas> arrivals{};

private:
  std::vector<std::string> ReplicaIps() const
  {
    std::vector<std::string> ips;
    for (int i = 0; i < kZoneReplicas; ++i) {
      ips.push_back(this->fleet.MachineIp(101 + i));
    }
    return ips;
  }

  std::mutex mutex;
  std::function<ReplicaAnswer(const ReplicaRequest&)> answer;
  std::atomic<int> requests{ 0 };
  ReplicaPool pool;
};

} // namespace

// Guards against an acknowledged evacuation that is lost with the leader, with
// the power of all machines, or by a router that has just started.
TEST_CASE_METHOD(ZoneEvacuationFixture,
                 "an evacuation holds although the leader is killed",
                 "[zone-evacuation]")
{
  REQUIRE(this->arrivals[1] + this->arrivals[0] + this->arrivals[2] > 0);
  int leader = this->FindZoneLeader();
  REQUIRE(leader > 0);
  int other = leader == 5 ? 4 : 5;
  auto reply = this->Order(other, "z2");
  this->fleet.Machine(leader).Kill();
  auto end = Clock::now() + kEvacuateTime;
  CAPTURE(reply.body);
  REQUIRE(reply.status == 200);
  // The rest of the fleet serves meanwhile.
  CHECK(this->SendAll(5, "/safe/1")[200] == 15);
  std::this_thread::sleep_until(end);

  int before = this->arrivals[1];
  CHECK(this->SendAll(40, "/safe/1")[200] == 120);
  CHECK(this->arrivals[1] == before);

  // The same order at the next leader, and at one that starts from its log.
  CHECK(this->Order(other, "z2").status == 200);
  this->fleet.KillAll();
  this->StartAll(false);
  this->WaitUntilServing();
  CHECK(this->SendAll(20, "/safe/1")[200] == 60);
  CHECK(this->arrivals[1] == before);

  REQUIRE(WaitFor(kZonesServeTime, [this] {
    return this->Order(1, "z2", false).status == 200;
  }));
  CHECK(this->AllRoutersShow(0));
  CHECK(WaitFor(kZonesServeTime, [this, before] {
    this->SendAll(1, "/safe/1");
    return this->arrivals[1] > before;
  }));
}

// Guards against retries and resumes that reach an evacuated zone, against a
// stream that is broken off because its zone is evacuated, and against requests
// that wait for endpoints of which none is left.
TEST_CASE_METHOD(ZoneEvacuationFixture,
                 "only requests in flight end in an evacuated zone",
                 "[zone-evacuation-streams]")
{
  constexpr int kEvents = 12;
  this->SetAnswer([](const ReplicaRequest& aRequest) {
    ReplicaAnswer answer{ { MakeStreamHead(aRequest) },
                          200ms,
                          ReplicaAnswer::End::Close };
    for (int i = 1; i <= kEvents; ++i) {
      answer.pieces.push_back(MakeEvent(i));
    }
    return answer;
  });
  const int before = this->arrivals[0] + this->arrivals[1] + this->arrivals[2];
  std::vector<std::thread> callers;
  std::atomic<int> whole{ 0 };
  for (int i = 0; i < 6; ++i) {
    callers.emplace_back([this, i, &whole] {
      auto stream = this->Send(kRouters[i % 3], "/resumable/1");
      whole +=
        stream.isComplete &&
            stream.body.find("e" + std::to_string(kEvents)) != std::string::npos
          ? 1
          : 0;
    });
  }
  CHECK(WaitFor(kZonesServeTime, [&] {
    return this->arrivals[0] + this->arrivals[1] + this->arrivals[2] ==
           before + 6;
  }));
  CHECK(this->Order(1, "z1").status == 200);
  CHECK(this->Order(1, "z2").status == 200);
  CHECK(this->AllRoutersShow(2));
  for (auto& caller : callers) {
    caller.join();
  }
  CHECK(whole == 6);

  const std::array evacuated{ this->arrivals[0].load(),
                              this->arrivals[1].load() };
  this->SetAnswer([](const ReplicaRequest& aRequest) {
    return ReplicaAnswer{ { MakeStreamHead(aRequest) + MakeEvent(1) },
                          {},
                          ReplicaAnswer::End::Reset };
  });
  for (int router : kRouters) {
    CHECK_FALSE(this->Send(router, "/resumable/1").isComplete);
  }
  this->SetAnswer([](const ReplicaRequest&) {
    return ReplicaAnswer{ {}, {}, ReplicaAnswer::End::Reset };
  });
  this->SendAll(3, "/safe/1");
  this->SetAnswer([](const ReplicaRequest&) {
    return ReplicaAnswer{ {}, {}, ReplicaAnswer::End::Crash };
  });
  this->Send(kRouters[0], "/safe/1");
  auto sentAt = Clock::now();
  CHECK(this->SendAll(5, "/safe/1")[503] == 15);
  CHECK(Clock::now() - sentAt < 15 * 1s);
  CHECK(this->arrivals[0] == evacuated[0]);
  CHECK(this->arrivals[1] == evacuated[1]);
}

// Guards against orders that are acknowledged without an effect, push the whole
// fleet for nothing, or leave no endpoint.
TEST_CASE_METHOD(ZoneEvacuationFixture,
                 "orders for zones are checked",
                 "[zone-orders]")
{
  auto unknown = this->Order(2, "z9");
  CHECK(unknown.status == 404);
  CHECK(unknown.body.find("z9") != std::string::npos);
  CHECK(unknown.body.find("z1, z2, z3, z4") != std::string::npos);
  CHECK(this->Order(2, "z9", false).status == 404);
  Call wrong;
  wrong.target = "/evacuate/z1";
  CHECK(this->fleet.SendToControl(2, wrong).status == 405);

  // Zone z4 has no endpoints.
  CHECK(this->Order(2, "z4").status == 200);
  CHECK(this->Order(3, "z1").status == 200);
  CHECK(this->Order(4, "z2").status == 200);
  CHECK(this->AllRoutersShow(3));
  auto last = this->Order(5, "z3");
  CHECK(last.status == 409);
  CHECK(last.body.find("z3") != std::string::npos);

  int leader = this->FindZoneLeader();
  REQUIRE(leader > 0);
  auto pushes = [&] {
    std::string log = this->fleet.Machine(leader).Log();
    int count = 0;
    for (auto at = log.find("revision_pushed"); at != std::string::npos;
         at = log.find("revision_pushed", at + 1)) {
      ++count;
    }
    return count;
  };
  int before = pushes();
  CHECK(this->Order(5, "z2").status == 200);
  CHECK(pushes() == before);
  CHECK(this->SendAll(5, "/safe/1")[200] == 15);
  CHECK(this->Order(5, "z2", false).status == 200);
  CHECK(this->Order(5, "z3").status == 200);
  CHECK(WaitFor(kEvacuateTime, [&] { return pushes() == before + 2; }));
}

// Guards against an operator's order that takes effect a second time when it is
// resent after it was revoked, and against a status that hides an evacuation.
TEST_CASE("an operator's orders for zones are deduplicated", "[zone-changes]")
{
  FleetOptions options;
  options.controls = 3;
  options.engines = 0;
  Fleet fleet("zone-changes", 1, options);
  auto order = [&](const char* aPath, const char* aChange, const char* aZone) {
    Reply reply;
    WaitFor(kZonesServeTime, [&] {
      reply = fleet.SendAdminRequest(
        "POST", aPath, { { "change_id", aChange }, { "zone", aZone } });
      return reply.status != 0 && reply.status != 503;
    });
    return reply.status;
  };
  auto showsEvacuation = [&] {
    auto status = fleet.SendAdminRequest("GET", "/admin/status", {});
    return status.body.find(R"("evacuated_zones":["z1"])") != std::string::npos;
  };
  CHECK(order("/admin/zones/evacuate", "c1", "z1") == 200);
  CHECK(showsEvacuation());
  CHECK(order("/admin/zones/restore", "c2", "z1") == 200);
  CHECK(order("/admin/zones/evacuate", "c1", "z1") == 200);
  CHECK_FALSE(showsEvacuation());
  CHECK(order("/admin/zones/evacuate", "c1", "z2") == 409);
  CHECK(order("/admin/zones/evacuate", "c3", "z2") == 404);
}

} // namespace lycheestand::faults
