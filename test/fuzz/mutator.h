#ifndef LYCHEESTAND_TEST_FUZZ_MUTATOR_H
#define LYCHEESTAND_TEST_FUZZ_MUTATOR_H

// Inputs for readers of bytes that another program has written.

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace lycheestand::fuzz {

// Changes valid texts at random. Equal seeds give equal inputs, on all
// processors.
class Mutator
{
public:
  // Tokens are inserted whole, since random bytes seldom give them.
  Mutator(std::uint64_t aSeed, std::vector<std::string> aTokens)
    : random(aSeed)
    , tokens(std::move(aTokens))
  {
  }

  // Returns the text with up to eight changes.
  std::string Mutate(std::string aText)
  {
    for (auto changes = 1 + this->Below(8); changes > 0; --changes) {
      this->Change(aText);
    }
    return aText;
  }

  // Returns a number below a bound, or 0 if the bound is 0.
  std::size_t Below(std::size_t aBound)
  {
    return aBound == 0 ? 0 : this->random() % aBound;
  }

private:
  void Change(std::string& aText)
  {
    auto at = this->Below(aText.size() + 1);
    auto count = this->Below(std::min<std::size_t>(aText.size() - at, 64) + 1);
    switch (this->Below(6)) {
      case 0:
        aText.insert(at, 1, static_cast<char>(this->Below(256)));
        break;
      case 1:
        aText.erase(at, count);
        break;
      case 2:
        aText.insert(at, aText.substr(at, count));
        break;
      case 3:
        aText.resize(at);
        break;
      case 4:
        if (!this->tokens.empty()) {
          aText.insert(at, this->tokens[this->Below(this->tokens.size())]);
        }
        break;
      default:
        if (at < aText.size()) {
          aText[at] = static_cast<char>(this->Below(256));
        }
        break;
    }
  }

  std::mt19937_64 random;
  std::vector<std::string> tokens;
};

} // namespace lycheestand::fuzz

#endif
