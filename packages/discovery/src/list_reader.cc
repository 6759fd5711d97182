#include <lycheestand/discovery.h>

namespace lycheestand::discovery {

namespace {

// Applies to the connection and to the response of one page. The list is
// requested again soon after a failure.
constexpr Duration kPageTimeout = std::chrono::milliseconds(800);

// Largest list, five times the number of endpoints at the target size, and most
// pages of it. Each page may name a next one, without end.
constexpr std::size_t kMaxEndpoints = 50'000;
constexpr std::size_t kMaxPages = 1'000;

// Delay after a failed reading of the list.
constexpr Duration kRetryDelay = std::chrono::milliseconds(300);

using FetchResult = Result<net::HttpResponse, net::CallFailure>;

class ListReader : public net::IoTask
{
public:
  ListReader(caf::actor_config& aConfig,
             net::Runtime aRuntime,
             caf::actor aPool,
             Address aPlatform,
             ListFormat aFormat,
             caf::actor aReceiver)
    : net::IoTask(aConfig, aRuntime, std::move(aPool))
    , platform(std::move(aPlatform))
    , format(std::move(aFormat))
    , receiver(std::move(aReceiver))
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return { [this](SetReaderEnabled aSet) {
      this->isEnabled = aSet.isEnabled;
      if (this->isEnabled && !this->isReading) {
        this->StartReading();
      }
    } };
  }

private:
  void StartReading()
  {
    this->isReading = this->isEnabled;
    if (!this->isEnabled) {
      return;
    }
    this->list = {};
    this->pages = 0;
    this->malformedEntries = 0;
    this->RequestPage("");
  }

  void RequestPage(const std::string& aPageToken)
  {
    net::CallOptions options;
    options.connectTimeout = kPageTimeout;
    options.idleTimeout = kPageTimeout;
    options.totalTimeout = kPageTimeout;
    this->Fetch(
      this->platform,
      { "GET", this->format.target(aPageToken), {}, "" },
      options,
      [this](const FetchResult& aResult) { this->HandlePage(aResult); });
  }

  void HandlePage(const FetchResult& aResult)
  {
    if (aResult.has_error()) {
      this->HandleFailure(net::ToString(aResult.error()));
      return;
    }
    if (aResult.value().status != 200) {
      this->HandleFailure("HTTP status " +
                          std::to_string(aResult.value().status));
      return;
    }
    auto page = this->format.read(aResult.value().body);
    if (!page) {
      this->HandleFailure("the response body is malformed");
      return;
    }
    this->malformedEntries += page->malformedEntries;
    for (auto& endpoint : page->endpoints) {
      this->list.endpoints.push_back(std::move(endpoint));
    }
    this->list.coldRemaining.merge(page->coldRemaining);
    if (++this->pages > kMaxPages ||
        this->list.endpoints.size() > kMaxEndpoints) {
      this->list = {};
      this->HandleFailure("the list does not end");
      return;
    }
    if (!page->next.empty()) {
      this->RequestPage(page->next);
      return;
    }
    this->FinishReading();
  }

  void FinishReading()
  {
    if (this->hasFailed) {
      net::Log(net::LogLevel::Info,
               "reading the platform's endpoint list works again",
               { { "event", "list_regained" } });
    }
    this->hasFailed = false;
    if (this->malformedEntries != this->reportedMalformed) {
      this->reportedMalformed = this->malformedEntries;
      net::Log(net::LogLevel::Warning,
               "skipped malformed entries of the platform's endpoint list",
               { { "event", "list_unreadable" },
                 { "entries", std::to_string(this->malformedEntries) } });
    }
    this->send(this->receiver, std::move(this->list));
    this->After(this->format.interval, [this] { this->StartReading(); });
  }

  // Logs only the first of consecutive failures.
  void HandleFailure(const std::string& aReason)
  {
    if (!this->hasFailed) {
      this->hasFailed = true;
      net::Log(net::LogLevel::Warning,
               "can't read the platform's endpoint list; retrying",
               { { "event", "list_lost" }, { "reason", aReason } });
    }
    this->After(kRetryDelay, [this] { this->StartReading(); });
  }

  Address platform;
  ListFormat format;
  caf::actor receiver;
  bool isEnabled = false;
  bool isReading = false;
  bool hasFailed = false;
  ListUpdate list;
  std::size_t pages = 0;
  std::size_t malformedEntries = 0;
  std::size_t reportedMalformed = 0;
};

} // namespace

caf::actor
SpawnListReader(const net::Runtime& aRuntime,
                caf::actor aPool,
                const Address& aPlatform,
                ListFormat aFormat,
                caf::actor aReceiver)
{
  return aRuntime.system->spawn<ListReader>(aRuntime,
                                            std::move(aPool),
                                            aPlatform,
                                            std::move(aFormat),
                                            std::move(aReceiver));
}

} // namespace lycheestand::discovery
