#include "controllers.h"

#include <algorithm>
#include <boost/json.hpp>

namespace lycheestand::router {

namespace {

constexpr Duration kReportInterval = std::chrono::milliseconds(100);

// While no service has several versions, control only keeps reports in memory.
constexpr Duration kSlowReportInterval = std::chrono::seconds(2);

// Streams in one message to control.
constexpr std::size_t kMaxReportedStreams = 1024;

// Longest time in which control can be asked about a stream.
constexpr Duration kMaxFindTime = std::chrono::seconds(1);

// Pause before control is asked again about a stream that it does not know: the
// router that has begun it may be about to report it.
constexpr Duration kAskAgainDelay = std::chrono::milliseconds(200);

// Keeps the streams that this router has begun, reports them to control, and
// finds out which version of software has begun a stream.
class StreamController : public net::IoTask
{
public:
  StreamController(caf::actor_config& aConfig, net::Runtime aRuntime)
    : net::IoTask(aConfig, aRuntime)
  {
  }

protected:
  void Start() override { this->lostAt = this->Time(); }

  caf::message_handler Handlers() override
  {
    return {
      [this](StreamBegan& aBegan) {
        this->log.Begin(
          aBegan.service, aBegan.stream, aBegan.version, this->Time());
        this->ScheduleReport();
      },
      [this](FindStream& aFind) { return this->HandleFind(aFind); },
      [this](CancelFindStream& aCancel) { this->Finish(aCancel.ticket, {}); },
      [this](FromControl& aMessage) { this->Handle(aMessage.message); },
      [this](StreamSourceChanged& aChanged) {
        this->SetSource(aChanged.source);
      },
      [this](caf::actor& aLink) { this->link = aLink; },
      [this](DumpState) { return this->Dump(); },
    };
  }

private:
  // A request that waits for control's reply.
  struct Search
  {
    FindStream find;
    caf::response_promise promise;
    // Control did not know the stream when it was first asked.
    bool isAskedAgain = false;
  };

  TimePoint Time() const { return net::Now(this->GetRuntime()); }

  caf::result<FindStreamReply> HandleFind(FindStream& aFind)
  {
    auto now = this->Time();
    if (aFind.stream) {
      auto known = this->log.Find(*aFind.stream, now);
      if (known.isKept) {
        return FindStreamReply{ false, known.version, true };
      }
    }
    if (this->source == StreamSource::Unrecorded) {
      return FindStreamReply{ .isAnyVersion = true };
    }
    if (this->source == StreamSource::None &&
        now - this->lostAt >= kMaxFindTime) {
      return FindStreamReply{};
    }
    auto promise = this->make_response_promise();
    const Ticket ticket = aFind.ticket;
    this->searches.insert_or_assign(ticket,
                                    Search{ std::move(aFind), promise });
    this->Ask(ticket);
    this->After(kMaxFindTime, [this, ticket] { this->Finish(ticket, {}); });
    return promise;
  }

  // Without a link, control is asked as soon as there is one.
  void Ask(Ticket aTicket)
  {
    auto found = this->searches.find(aTicket);
    if (found != this->searches.end() &&
        this->source == StreamSource::Control) {
      const auto& find = found->second.find;
      this->send(this->link,
                 ToControl{ wire::StreamQuery{
                   aTicket.Get(), find.service, find.stream } });
    }
  }

  void Finish(Ticket aTicket, FindStreamReply aReply)
  {
    auto found = this->searches.extract(aTicket);
    if (!found.empty()) {
      found.mapped().promise.deliver(std::move(aReply));
    }
  }

  void Handle(const wire::Message& aMessage)
  {
    if (const auto* reply = std::get_if<wire::StreamReply>(&aMessage)) {
      this->HandleReply(*reply);
    } else if (const auto* services =
                 std::get_if<wire::StreamServices>(&aMessage)) {
      this->SetServices(
        { services->services.begin(), services->services.end() });
    }
  }

  // What the slow interval has held back of a service that is new is reported
  // at once.
  void SetServices(std::set<ServiceName> aServices)
  {
    bool hasNew = !std::ranges::includes(this->services, aServices);
    this->services = std::move(aServices);
    if (hasNew) {
      this->isReportScheduled = false;
      ++this->reports;
      this->Report();
    }
  }

  void HandleReply(const wire::StreamReply& aReply)
  {
    const Ticket ticket(aReply.query);
    auto found = this->searches.find(ticket);
    if (found == this->searches.end()) {
      return;
    }
    if (aReply.version || found->second.isAskedAgain) {
      this->Finish(ticket, { false, aReply.version, true });
      return;
    }
    found->second.isAskedAgain = true;
    this->After(kAskAgainDelay, [this, ticket, links = this->links] {
      if (links == this->links) {
        this->Ask(ticket);
      }
    });
  }

  void SetSource(StreamSource aSource)
  {
    if (aSource == StreamSource::None && this->source != StreamSource::None) {
      this->lostAt = this->Time();
    }
    this->source = aSource;
    ++this->links;
    if (aSource == StreamSource::Control) {
      this->log.ReportAgain();
      this->ScheduleReport();
      for (auto& [ticket, search] : this->searches) {
        search.isAskedAgain = false;
        this->Ask(ticket);
      }
    }
    while (aSource == StreamSource::Unrecorded && !this->searches.empty()) {
      this->Finish(this->searches.begin()->first, { .isAnyVersion = true });
    }
  }

  void ScheduleReport()
  {
    if (this->source != StreamSource::Control || this->isReportScheduled) {
      return;
    }
    this->isReportScheduled = true;
    auto interval =
      this->services.empty() ? kSlowReportInterval : kReportInterval;
    this->After(interval, [this, at = this->reports] {
      if (at == this->reports) {
        this->isReportScheduled = false;
        this->Report();
      }
    });
  }

  void Report()
  {
    if (this->source != StreamSource::Control) {
      return;
    }
    while (true) {
      auto reports = this->log.TakeReports(kMaxReportedStreams, this->Time());
      if (reports.empty()) {
        return;
      }
      for (auto& report : reports) {
        this->send(
          this->link,
          ToControl{ wire::StreamReport{
            report.service, report.version, std::move(report.streams) } });
      }
    }
  }

  std::string Dump() const
  {
    return boost::json::serialize(boost::json::object{
      { "kept", this->log.Size() }, { "searches", this->searches.size() } });
  }

  caf::actor link;
  StreamSource source = StreamSource::None;
  // When the last link to control was lost, or the process started.
  TimePoint lostAt{};
  // Counts the changes of the source.
  std::uint64_t links = 0;
  streams::StreamLog log;
  // Services with several versions.
  std::set<ServiceName> services;
  bool isReportScheduled = false;
  // Counts the reports that came before their scheduled time.
  std::uint64_t reports = 0;
  std::map<Ticket, Search> searches;
};

} // namespace

caf::actor
SpawnStreamController(const net::Runtime& aRuntime)
{
  return aRuntime.system->spawn<StreamController>(aRuntime);
}

} // namespace lycheestand::router
