#include <lycheestand/discovery.h>

namespace lycheestand::discovery {

namespace {

// Longest wait for a page; the list is asked for again soon after.
constexpr Duration kPageTimeout = std::chrono::milliseconds(800);

// Pause after a failed reading.
constexpr Duration kRetryPause = std::chrono::milliseconds(300);

using FetchResult = Result<net::HttpResponse, net::CallFailure>;

class ListReader : public net::IoTask
{
public:
  ListReader(caf::actor_config& aConfig,
             net::Runtime aRuntime,
             caf::actor aPool,
             Address aPlatform,
             ListFormat aFormat,
             caf::actor aUser)
    : net::IoTask(aConfig, aRuntime, std::move(aPool))
    , platform(std::move(aPlatform))
    , format(std::move(aFormat))
    , user(std::move(aUser))
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return { [this](SetReading aSet) {
      this->isOn = aSet.isOn;
      if (this->isOn && !this->isBusy) {
        this->Begin();
      }
    } };
  }

private:
  void Begin()
  {
    this->isBusy = this->isOn;
    if (!this->isOn) {
      return;
    }
    this->list = {};
    this->unreadable = 0;
    this->AskPage("");
  }

  void AskPage(const std::string& aPage)
  {
    net::CallOptions options;
    options.connectTimeout = kPageTimeout;
    options.idleTimeout = kPageTimeout;
    this->Fetch(this->platform,
                { "GET", this->format.target(aPage), {}, "" },
                options,
                [this](const FetchResult& aResult) { this->Take(aResult); });
  }

  void Take(const FetchResult& aResult)
  {
    if (aResult.has_error()) {
      this->Fail(net::ToString(aResult.error()));
      return;
    }
    if (aResult.value().status != 200) {
      this->Fail("status " + std::to_string(aResult.value().status));
      return;
    }
    auto page = this->format.read(aResult.value().body);
    if (!page) {
      this->Fail("the answer is malformed");
      return;
    }
    this->unreadable += page->unreadable;
    for (auto& endpoint : page->endpoints) {
      this->list.endpoints.push_back(std::move(endpoint));
    }
    if (!page->next.empty()) {
      this->AskPage(page->next);
      return;
    }
    this->Finish();
  }

  void Finish()
  {
    if (this->hasFailed) {
      net::Log(net::LogLevel::Info,
               "the platform's list can be read again",
               { { "event", "list_regained" } });
    }
    this->hasFailed = false;
    if (this->unreadable != this->reportedUnreadable) {
      this->reportedUnreadable = this->unreadable;
      net::Log(net::LogLevel::Warning,
               "entries of the platform's list can't be read",
               { { "event", "list_unreadable" },
                 { "entries", std::to_string(this->unreadable) } });
    }
    this->send(this->user, std::move(this->list));
    this->After(this->format.interval, [this] { this->Begin(); });
  }

  // The first failure of a row is logged.
  void Fail(const std::string& aReason)
  {
    if (!this->hasFailed) {
      this->hasFailed = true;
      net::Log(net::LogLevel::Warning,
               "the platform's list can't be read",
               { { "event", "list_lost" }, { "reason", aReason } });
    }
    this->After(kRetryPause, [this] { this->Begin(); });
  }

  Address platform;
  ListFormat format;
  caf::actor user;
  bool isOn = false;
  bool isBusy = false;
  bool hasFailed = false;
  ListRead list;
  std::size_t unreadable = 0;
  std::size_t reportedUnreadable = 0;
};

} // namespace

caf::actor
SpawnListReader(const net::Runtime& aRuntime,
                caf::actor aPool,
                const Address& aPlatform,
                ListFormat aFormat,
                caf::actor aUser)
{
  return aRuntime.system->spawn<ListReader>(aRuntime,
                                            std::move(aPool),
                                            aPlatform,
                                            std::move(aFormat),
                                            std::move(aUser));
}

} // namespace lycheestand::discovery
