#include <catch2/catch.hpp>
#include <lycheestand/routing.h>
#include <set>

using namespace lycheestand;
using namespace lycheestand::routing;

namespace {

// Candidates with equal load, and requests with a shared prefix.
class RendezvousFixture
{
public:
  RendezvousFixture()
  {
    for (int i = 0; i < 12; ++i) {
      this->ids.emplace_back("i-" + std::to_string(i));
    }
  }

  std::vector<Candidate> MakeCandidates() const
  {
    std::vector<Candidate> out;
    for (const auto& id : this->ids) {
      Candidate candidate;
      candidate.endpoint = &id;
      candidate.hasReport = true;
      candidate.slots = 64;
      out.push_back(candidate);
    }
    return out;
  }

  Query MakeQuery(std::uint64_t aSharedPrefix, std::uint64_t aOwn) const
  {
    Query query;
    query.promptTokens = Tokens(9000);
    query.prefix = { { PrefixHash(1), Tokens(2500) },
                     { PrefixHash(aSharedPrefix), Tokens(6300) },
                     { PrefixHash(aOwn), Tokens(9000) } };
    return query;
  }

  static CostOptions MakeOptions()
  {
    CostOptions options;
    options.promptTokensPerSecond = 70000;
    options.temperatureSeconds = 0.005;
    return options;
  }

  std::vector<EndpointId> ids;
  // Deterministic: always the middle of the range.
  RandomSource random = [](std::uint64_t aBound) { return aBound / 2; };
};

} // namespace

// Guards against routers that each choose another endpoint for a prefix, which
// is then processed once for each router.
TEST_CASE_METHOD(RendezvousFixture,
                 "All routers send a prefix to the same endpoint")
{
  auto one = MakeRendezvousPolicy(MakeOptions());
  auto other = MakeRendezvousPolicy(MakeOptions());
  std::set<std::size_t> chosenIndices;
  for (std::uint64_t shared = 100; shared < 200; ++shared) {
    auto first =
      one(this->MakeQuery(shared, 7), this->MakeCandidates(), this->random);
    auto second =
      other(this->MakeQuery(shared, 8), this->MakeCandidates(), this->random);
    CHECK(first == second);
    chosenIndices.insert(first);
  }
  // The prefixes spread over the endpoints.
  CHECK(chosenIndices.size() >= 10);
}

// Guards against a frequent prefix that overloads its preferred endpoint.
TEST_CASE_METHOD(RendezvousFixture,
                 "An overloaded preferred endpoint is avoided")
{
  auto policy = MakeRendezvousPolicy(MakeOptions());
  auto query = this->MakeQuery(100, 7);
  auto candidates = this->MakeCandidates();
  auto preferred = policy(query, candidates, this->random);
  // Processing the pending prompts takes longer than processing the prefix at
  // another endpoint.
  candidates[preferred].ownPendingPromptTokens = 60000;
  CHECK(policy(query, candidates, this->random) != preferred);
}

// Guards against prefixes that all move when one endpoint is removed.
TEST_CASE_METHOD(RendezvousFixture,
                 "Only the prefixes of a removed endpoint move")
{
  auto policy = MakeRendezvousPolicy(MakeOptions());
  auto candidates = this->MakeCandidates();
  auto fewer = candidates;
  fewer.erase(fewer.begin() + 5);
  int moved = 0;
  for (std::uint64_t shared = 100; shared < 200; ++shared) {
    auto query = this->MakeQuery(shared, 7);
    auto before = policy(query, candidates, this->random);
    auto after = policy(query, fewer, this->random);
    bool isSame = candidates[before].endpoint == fewer[after].endpoint;
    moved += before != 5 && !isSame ? 1 : 0;
  }
  CHECK(moved == 0);
}
