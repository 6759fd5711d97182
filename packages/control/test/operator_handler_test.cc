#include "net_fixture.h"
#include "tasks.h"

using namespace lycheestand;
using namespace lycheestand::control;
using namespace std::chrono_literals;

namespace {

// Takes the place of a replica whose quorum confirms nothing, since disks are
// stalled.
class StalledReplica : public net::IoTask
{
public:
  using net::IoTask::IoTask;

protected:
  caf::message_handler Handlers() override
  {
    return {
      [this](Propose&) { return this->Wait<ProposalResult>(); },
      [this](ConfirmLeadership) {
        return this->Wait<LeadershipConfirmation>();
      },
      [this](Query&) { return this->Wait<QueryResult>(); },
    };
  }

private:
  template<class Reply>
  caf::typed_response_promise<Reply> Wait()
  {
    auto promise = this->make_response_promise<Reply>();
    this->promises.push_back(promise);
    return promise;
  }

  std::vector<caf::response_promise> promises;
};

class OperatorHandlerFixture : public net::NetFixture
{
public:
  OperatorHandlerFixture()
  {
    auto replica = this->system.spawn<StalledReplica>(this->runtime);
    this->started = { replica };
    this->address = this->Serve(MakeOperatorHandler(replica, replica, replica));
  }

  // Sends a request, and returns the response that comes within the time in
  // which operators' clients wait.
  std::string Send(const std::string& aRequest)
  {
    constexpr int kSteps = 10;
    net::RawCaller caller(this->address);
    caller.Send(aRequest);
    for (int i = 0; i < kSteps && caller.Received().empty(); ++i) {
      this->Advance(500ms);
      std::this_thread::sleep_for(1ms);
    }
    return caller.Received();
  }

  Address address;
};

} // namespace

// Guards against an operator's request that gets no answer while the disks of
// the control group are stalled.
TEST_CASE_METHOD(OperatorHandlerFixture,
                 "A request is answered although no quorum confirms it")
{
  const std::string body =
    R"({"change_id":"c1","workspace":"w","tokens":5,"digest":"0000000000000001"})";
  auto post = [&body](const std::string& aPath) {
    return "POST " + aPath + " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  auto get = [](const std::string& aPath) {
    return "GET " + aPath + " HTTP/1.1\r\nHost: a\r\n\r\n";
  };
  SECTION("change")
  {
    auto response = this->Send(post("/admin/topups"));
    CHECK(response.starts_with("HTTP/1.1 503 "));
    // It may be committed later.
    CHECK(response.find(R"("ran":"unknown")") != std::string::npos);
  }
  SECTION("order at the leader")
  {
    auto response = this->Send(post("/admin/quarantine/lift"));
    CHECK(response.starts_with("HTTP/1.1 503 "));
    CHECK(response.find(R"("ran":"not_run")") != std::string::npos);
  }
  SECTION("read")
  {
    auto path = GENERATE("/admin/status", "/admin/instances");
    auto response = this->Send(get(path));
    CHECK(response.starts_with("HTTP/1.1 503 "));
  }
}
