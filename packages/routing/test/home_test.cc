#include <catch2/catch.hpp>
#include <lycheestand/routing.h>
#include <set>

using namespace lycheestand;
using namespace lycheestand::routing;

namespace {

// Candidates as two routers see them, and a request with a shared beginning.
class HomeFixture
{
public:
  HomeFixture()
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

  Query MakeQuery(std::uint64_t aShared, std::uint64_t aOwn) const
  {
    Query query;
    query.promptTokens = Tokens(9000);
    query.prefix = { { PrefixHash(1), Tokens(2500) },
                     { PrefixHash(aShared), Tokens(6300) },
                     { PrefixHash(aOwn), Tokens(9000) } };
    return query;
  }

  static CostOptions MakeOptions()
  {
    CostOptions options;
    options.promptTokensPerSecond = 70000;
    options.nearSeconds = 0.005;
    return options;
  }

  std::vector<EndpointId> ids;
  // Always the same point, as far as it goes.
  RandomSource random = [](std::uint64_t aBound) { return aBound / 2; };
};

} // namespace

// Guards against a beginning that is read in at as many endpoints as there are
// routers.
TEST_CASE_METHOD(HomeFixture, "All routers send a beginning to one endpoint")
{
  auto one = MakeHomePolicy(MakeOptions());
  auto other = MakeHomePolicy(MakeOptions());
  std::set<std::size_t> homes;
  for (std::uint64_t shared = 100; shared < 200; ++shared) {
    auto first =
      one(this->MakeQuery(shared, 7), this->MakeCandidates(), this->random);
    auto second =
      other(this->MakeQuery(shared, 8), this->MakeCandidates(), this->random);
    CHECK(first == second);
    homes.insert(first);
  }
  // Many beginnings spread over the endpoints.
  CHECK(homes.size() >= 10);
}

// Guards against a hot beginning that overloads its home.
TEST_CASE_METHOD(HomeFixture, "A busy home is left out")
{
  auto policy = MakeHomePolicy(MakeOptions());
  auto query = this->MakeQuery(100, 7);
  auto candidates = this->MakeCandidates();
  auto home = policy(query, candidates, this->random);
  // The prompts before it take longer than reading the beginning in elsewhere.
  candidates[home].ownWorkTokens = 60000;
  CHECK(policy(query, candidates, this->random) != home);
}

// Guards against beginnings that all move when one endpoint leaves.
TEST_CASE_METHOD(HomeFixture, "Only the beginnings of a leaving endpoint move")
{
  auto policy = MakeHomePolicy(MakeOptions());
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
