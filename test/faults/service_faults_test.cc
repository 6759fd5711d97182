// Endpoints of a plain service, behind the project's own interface, whose
// answers fail.

#include "fleet.h"
#include "replica_pool.h"

#include <catch2/catch.hpp>

namespace lycheestand::faults {

namespace {

constexpr int kServiceCount = 2;
constexpr std::uint16_t kServicePort = 8080;

// One control instance, one router, and endpoints of the service "records" that
// send an event stream with neither a length nor chunks.
class ServiceFaultsFixture
{
public:
  explicit ServiceFaultsFixture(std::string aEvents)
    : pool(this->ServiceIps(),
           this->environment.MachineIp(120),
           "records",
           2s,
           [events = std::move(aEvents)](int, const ReplicaRequest& aRequest) {
             return ReplicaAnswer{ { MakeStreamHead(aRequest) + events },
                                   {},
                                   ReplicaAnswer::End::Close };
           })
    , fleet("service-faults", 1, this->Options())
  {
  }

  Reply Lookup()
  {
    return this->fleet.GetFromRouter(0, "/services/records/units/1");
  }

  Reply Book(const std::string& aKey)
  {
    return this->fleet.PostBooking(0, aKey, "{}");
  }

private:
  std::vector<std::string> ServiceIps() const
  {
    std::vector<std::string> ips;
    for (int i = 0; i < kServiceCount; ++i) {
      ips.push_back(this->environment.MachineIp(101 + i));
    }
    return ips;
  }

  FleetOptions Options() const
  {
    FleetOptions options;
    options.routers = 1;
    options.engines = 0;
    for (const auto& ip : this->ServiceIps()) {
      options.outsideServices.push_back({ ip, kServicePort });
    }
    return options;
  }

  TestEnvironment environment;
  ReplicaPool pool;
  Fleet fleet;
};

} // namespace

// Guards against half an event that a caller gets as the end of a whole answer:
// the connection of a stream without a length or chunks may end at any byte.
TEST_CASE("a service's stream that ends inside an event is not a whole answer",
          "[broken-service-stream]")
{
  std::string cut = MakeEvent(1) + MakeEvent(2).substr(0, 7);
  {
    ServiceFaultsFixture broken(cut);
    CHECK(broken.Lookup().status == 502);
    CHECK(broken.Book("k1").status == 504);
  }
  ServiceFaultsFixture whole(MakeEvent(1) + MakeEvent(2));
  auto reply = whole.Lookup();
  CHECK(reply.status == 200);
  CHECK(reply.body == MakeEvent(1) + MakeEvent(2));
  CHECK(whole.Book("k2").status == 200);
}

} // namespace lycheestand::faults
