#ifndef LYCHEESTAND_TEST_STANDINS_PREFIX_CACHE_H
#define LYCHEESTAND_TEST_STANDINS_PREFIX_CACHE_H

// Prefix cache of the engine stand-in and its cache events.

#include "answer_text.h"

#include <boost/json.hpp>
#include <deque>
#include <list>
#include <lycheestand/core.h>
#include <map>
#include <vector>

namespace lycheestand::standins {

struct CacheOptions
{
  std::int64_t tokens = 32768;
  // Delay before an event is published.
  Duration eventDelay = std::chrono::milliseconds(200);
  // Every n-th event is never published; 0 publishes all.
  std::uint64_t droppedEventInterval = 0;
};

// LRU cache of prompt blocks. A block's hash covers the prompt from its start
// to the block's end; the first block's hash covers the first 512 bytes, which
// is the prefix hash that routers compute.
class PrefixCache
{
public:
  explicit PrefixCache(CacheOptions aOptions)
    : options(aOptions)
  {
  }

  // Adds a prompt; returns how many of its tokens were not cached.
  std::int64_t Add(std::string_view aPrompt, TimePoint aNow)
  {
    std::int64_t uncachedTokens = 0;
    bool isPrefixCached = true;
    std::uint64_t hash = HashText("");
    for (std::size_t at = 0; at < aPrompt.size(); at += kBlockBytes) {
      auto block = aPrompt.substr(at, kBlockBytes);
      hash = HashText(block, hash);
      isPrefixCached = this->Touch(hash, aNow) && isPrefixCached;
      if (!isPrefixCached) {
        uncachedTokens += CountTokens(block.size());
      }
    }
    return uncachedTokens;
  }

  std::int64_t Tokens() const
  {
    return static_cast<std::int64_t>(this->recent.size()) *
           CountTokens(kBlockBytes);
  }

  // Returns the published events with a sequence number above aAfter as JSON.
  std::string FormatEvents(std::uint64_t aAfter, TimePoint aNow) const
  {
    boost::json::array out;
    std::uint64_t next = aAfter;
    for (const auto& event : this->events) {
      if (event.sequence <= aAfter) {
        continue;
      }
      if (aNow - event.at < this->options.eventDelay) {
        break;
      }
      next = event.sequence;
      if (this->options.droppedEventInterval == 0 ||
          event.sequence % this->options.droppedEventInterval != 0) {
        out.push_back({ { "seq", event.sequence },
                        { "prefix", std::to_string(event.hash) },
                        { "added", event.added } });
      }
    }
    return boost::json::serialize(
      boost::json::object{ { "next", next }, { "events", out } });
  }

  // Counts one token per four bytes, rounded up.
  static std::int64_t CountTokens(std::size_t aBytes)
  {
    return static_cast<std::int64_t>((aBytes + 3) / 4);
  }

private:
  static constexpr std::size_t kBlockBytes = 512;
  static constexpr std::size_t kMaxEvents = 10000;

  struct Event
  {
    std::uint64_t sequence = 0;
    std::uint64_t hash = 0;
    bool added = false;
    TimePoint at;
  };

  // Moves a block to the front of the LRU list, adding it and evicting others
  // if needed; returns whether it was cached.
  bool Touch(std::uint64_t aHash, TimePoint aNow)
  {
    auto found = this->blocks.find(aHash);
    if (found != this->blocks.end()) {
      this->recent.splice(this->recent.begin(), this->recent, found->second);
      return true;
    }
    this->recent.push_front(aHash);
    this->blocks[aHash] = this->recent.begin();
    this->RecordEvent(aHash, true, aNow);
    while (this->Tokens() > this->options.tokens) {
      this->RecordEvent(this->recent.back(), false, aNow);
      this->blocks.erase(this->recent.back());
      this->recent.pop_back();
    }
    return false;
  }

  void RecordEvent(std::uint64_t aHash, bool aAdded, TimePoint aNow)
  {
    this->events.push_back({ ++this->sequence, aHash, aAdded, aNow });
    if (this->events.size() > kMaxEvents) {
      this->events.pop_front();
    }
  }

  CacheOptions options;
  std::list<std::uint64_t> recent;
  std::map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks;
  std::deque<Event> events;
  std::uint64_t sequence = 0;
};

} // namespace lycheestand::standins

#endif
