#include "buffer_controller.h"

#include "buffer_ledger.h"

#include <algorithm>
#include <caf/response_promise.hpp>

namespace lycheestand::net {

namespace {

// Holders that are asked before a connection is refused. Each costs a message
// and a reply, while a crowd asks for bytes.
constexpr std::size_t kMaxAskedHolders = 64;

// Owns the ledger. A connection that asks for more than is left waits while the
// largest holders are asked, one after the other, whether they have stalled.
class BufferController : public IoTask
{
public:
  BufferController(caf::actor_config& aConfig,
                   Runtime aRuntime,
                   std::size_t aCapacity)
    : IoTask(aConfig, aRuntime)
    , ledger(aCapacity)
  {
  }

protected:
  caf::message_handler Handlers() override
  {
    return {
      [this](HoldBuffer aHold) { return this->Hold(aHold.bytes); },
      [this](ReleaseBuffer) {
        this->Release(BufferHolderId(this->current_sender()->id()));
      },
    };
  }

private:
  struct WaitingHold
  {
    BufferHolderId holder;
    std::size_t bytes = 0;
    caf::strong_actor_ptr connection;
    caf::response_promise promise;
  };

  caf::result<bool> Hold(std::size_t aBytes)
  {
    WaitingHold hold{ BufferHolderId(this->current_sender()->id()),
                      aBytes,
                      this->current_sender(),
                      this->make_response_promise() };
    auto promise = hold.promise;
    if (!this->Grant(hold)) {
      this->waiting.push_back(std::move(hold));
      this->StartSearch();
    }
    return promise;
  }

  // Returns false, without a reply, if there are too few bytes.
  bool Grant(WaitingHold& aHold)
  {
    if (!this->ledger.Set(aHold.holder, aHold.bytes)) {
      return false;
    }
    this->connections[aHold.holder] = aHold.connection;
    this->heldBytes.Set(static_cast<std::int64_t>(this->ledger.Held()));
    this->holds.Add();
    aHold.promise.deliver(true);
    return true;
  }

  void Refuse(WaitingHold& aHold)
  {
    this->refusedHolds.Add();
    aHold.promise.deliver(false);
  }

  void Release(BufferHolderId aHolder)
  {
    this->ledger.Release(aHolder);
    this->connections.erase(aHolder);
    this->heldBytes.Set(static_cast<std::int64_t>(this->ledger.Held()));
    std::erase_if(this->waiting, [this, aHolder](WaitingHold& aHold) {
      if (aHold.holder == aHolder) {
        this->Refuse(aHold);
        return true;
      }
      return false;
    });
  }

  void StartSearch()
  {
    if (!this->isSearching) {
      this->isSearching = true;
      auto largest = this->ledger.FindLargest(kMaxAskedHolders);
      this->candidates = { largest.rbegin(), largest.rend() };
      this->AskNext();
    }
  }

  void AskNext()
  {
    if (this->waiting.empty() || this->candidates.empty()) {
      for (auto& hold : this->waiting) {
        this->Refuse(hold);
      }
      this->waiting.clear();
      this->isSearching = false;
      return;
    }
    auto found = this->connections.find(this->candidates.back());
    this->candidates.pop_back();
    if (found == this->connections.end()) {
      this->AskNext();
      return;
    }
    this
      ->request(caf::actor_cast<caf::actor>(found->second),
                caf::infinite,
                YieldBuffer{})
      .then([this](bool) { this->ContinueSearch(); },
            // The connection has ended meanwhile.
            [this](const caf::error&) { this->ContinueSearch(); });
  }

  // The bytes of a holder that gave up are free: its ReleaseBuffer came before
  // its reply.
  void ContinueSearch()
  {
    std::erase_if(this->waiting,
                  [this](WaitingHold& aHold) { return this->Grant(aHold); });
    this->AskNext();
  }

  BufferLedger ledger;
  std::map<BufferHolderId, caf::strong_actor_ptr> connections;
  std::vector<WaitingHold> waiting;
  // Holders to ask, the largest last.
  std::vector<BufferHolderId> candidates;
  bool isSearching = false;
  Gauge heldBytes = Metrics().GetGauge("lycheestand_buffered_bytes");
  Counter holds = Metrics().GetCounter("lycheestand_buffer_holds_total");
  Counter refusedHolds =
    Metrics().GetCounter("lycheestand_buffer_refusals_total");
};

} // namespace

caf::actor
SpawnBufferController(const Runtime& aRuntime, std::size_t aCapacity)
{
  return aRuntime.system->spawn<BufferController>(aRuntime, aCapacity);
}

} // namespace lycheestand::net
