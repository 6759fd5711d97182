#ifndef LYCHEESTAND_TEST_STANDINS_PREFIX_CACHE_H
#define LYCHEESTAND_TEST_STANDINS_PREFIX_CACHE_H

// The engine stand-in's cache of prompt prefixes and the events about it.

#include "answer_text.h"

#include <boost/json.hpp>
#include <deque>
#include <list>
#include <lycheestand/core.h>
#include <map>
#include <vector>

namespace lycheestand::standins {

// Settings of the cache and its events.
struct CacheOptions
{
  std::int64_t tokens = 32768;
  // Time after which an event is published.
  Duration eventDelay = std::chrono::milliseconds(200);
  // Each so-many-th event is never published; 0 for none.
  std::uint64_t eventGap = 0;
};

// Keeps blocks of prompts in limited memory and drops the least recently used.
// A block's hash covers the whole prompt up to its end; the first block's hash
// is that of the first 512 bytes, which routers also compute.
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
    std::int64_t missing = 0;
    bool isPrefixCached = true;
    std::uint64_t hash = HashText("");
    for (std::size_t at = 0; at < aPrompt.size(); at += kBlockBytes) {
      auto block = aPrompt.substr(at, kBlockBytes);
      hash = HashText(block, hash);
      isPrefixCached = this->Touch(hash, aNow) && isPrefixCached;
      if (!isPrefixCached) {
        missing += CountTokens(block.size());
      }
    }
    return missing;
  }

  std::int64_t Tokens() const
  {
    return static_cast<std::int64_t>(this->recent.size()) *
           CountTokens(kBlockBytes);
  }

  // Returns the events after a number that are old enough to be published.
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
      if (this->options.eventGap == 0 ||
          event.sequence % this->options.eventGap != 0) {
        out.push_back({ { "seq", event.sequence },
                        { "prefix", std::to_string(event.hash) },
                        { "added", event.added } });
      }
    }
    return boost::json::serialize(
      boost::json::object{ { "next", next }, { "events", out } });
  }

  // The stand-in counts one token for four bytes.
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

  // Marks a block as just used; returns whether it was cached.
  bool Touch(std::uint64_t aHash, TimePoint aNow)
  {
    auto found = this->blocks.find(aHash);
    if (found != this->blocks.end()) {
      this->recent.splice(this->recent.begin(), this->recent, found->second);
      return true;
    }
    this->recent.push_front(aHash);
    this->blocks[aHash] = this->recent.begin();
    this->Record(aHash, true, aNow);
    while (this->Tokens() > this->options.tokens) {
      this->Record(this->recent.back(), false, aNow);
      this->blocks.erase(this->recent.back());
      this->recent.pop_back();
    }
    return false;
  }

  void Record(std::uint64_t aHash, bool aAdded, TimePoint aNow)
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
