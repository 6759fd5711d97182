#include "net_fixture.h"

#include <lycheestand/discovery.h>

using namespace lycheestand;
using namespace lycheestand::discovery;
using namespace std::chrono_literals;

namespace {

// Keeps the lists that a reader sends.
class Receiver : public net::IoTask
{
public:
  Receiver(caf::actor_config& aConfig,
           net::Runtime aRuntime,
           std::vector<ListUpdate>& aUpdates)
    : net::IoTask(aConfig, aRuntime)
    , updates(aUpdates)
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return { [this](ListUpdate& aUpdate) {
      this->updates.push_back(std::move(aUpdate));
    } };
  }

private:
  std::vector<ListUpdate>& updates;
};

class ListReaderFixture : public net::NetFixture
{
public:
  // Starts a reader of a platform whose pages have this many endpoints. A page
  // names a next one while hasNextPage is set.
  void Start(std::size_t aEndpointsPerPage)
  {
    auto address = this->Serve([this](const net::ExchangePtr& aExchange) {
      ++this->requests;
      aExchange->Respond({ 200, {}, "page" });
    });
    ListFormat format;
    format.target = [](const std::string&) { return "/instances"; };
    format.read = [this, aEndpointsPerPage](const std::string&) {
      ListPage page;
      page.endpoints.resize(aEndpointsPerPage);
      page.next = this->hasNextPage ? "more" : "";
      return std::optional(page);
    };
    auto receiver =
      this->system.spawn<Receiver>(this->runtime, std::ref(this->updates));
    auto reader = SpawnListReader(
      this->runtime, this->pool, address, std::move(format), receiver);
    this->started.push_back(receiver);
    this->started.push_back(reader);
    caf::anon_send(reader, SetReaderEnabled{ true });
  }

  bool hasNextPage = true;
  std::size_t requests = 0;
  std::vector<ListUpdate> updates;
};

} // namespace

// Guards against a list that names next pages without end: its entries would
// fill the memory of the control instance that reads it.
TEST_CASE_METHOD(ListReaderFixture, "A list that does not end is given up")
{
  constexpr std::size_t kEndpointsPerPage = 10'000;
  this->Start(kEndpointsPerPage);
  // The reading fails at the sixth page; the next one starts after a delay.
  this->RunUntil([this] { return this->requests >= 6; });
  this->RunUntil([rounds = 0]() mutable { return ++rounds > 100; });
  CHECK(this->requests == 6);
  CHECK(this->updates.empty());

  this->hasNextPage = false;
  this->RunUntil([this] {
    this->Advance(500ms);
    return !this->updates.empty();
  });
  CHECK(this->updates.front().endpoints.size() == kEndpointsPerPage);
}

// Guards against empty pages without end, for which the reader would ask the
// platform as fast as it can.
TEST_CASE_METHOD(ListReaderFixture, "Empty pages without end are given up")
{
  this->Start(0);
  this->RunUntil([this] { return this->requests > 1'000; });
  this->RunUntil([rounds = 0]() mutable { return ++rounds > 100; });
  CHECK(this->requests == 1'001);
  CHECK(this->updates.empty());
}
