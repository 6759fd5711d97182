#include "buffer_ledger.h"

#include <catch2/catch.hpp>

using namespace lycheestand::net;

namespace {

const BufferHolderId kFirst(1);
const BufferHolderId kSecond(2);

} // namespace

// Guards against many messages that are each below their limit and together
// exceed the memory.
TEST_CASE("Holders never have more than the capacity")
{
  BufferLedger ledger(1000);
  for (std::uint64_t holder = 1; holder <= 100; ++holder) {
    for (std::size_t bytes = 1; bytes <= 512; bytes *= 2) {
      ledger.Set(BufferHolderId(holder), bytes);
      REQUIRE(ledger.Held() <= 1000);
    }
  }
}

// Guards against a large message that leaves no memory for others.
TEST_CASE("A holder gets at most half of what the others leave")
{
  BufferLedger ledger(1000);
  CHECK_FALSE(ledger.Set(kFirst, 501));
  CHECK(ledger.Set(kFirst, 500));
  CHECK_FALSE(ledger.Set(kSecond, 251));
  CHECK(ledger.Set(kSecond, 250));
  CHECK(ledger.Held() == 750);
}

// Guards against small holders that lose their bytes to large ones.
TEST_CASE("The largest holders are found first")
{
  BufferLedger ledger(1000);
  REQUIRE(ledger.Set(kFirst, 100));
  REQUIRE(ledger.Set(kSecond, 200));
  CHECK(ledger.FindLargest(1) == std::vector{ kSecond });
  CHECK(ledger.FindLargest(9) == std::vector{ kSecond, kFirst });
}

// Guards against bytes that stay taken after their holder needs fewer or none.
TEST_CASE("Released bytes can be taken again")
{
  BufferLedger ledger(1000);
  REQUIRE(ledger.Set(kFirst, 500));
  REQUIRE(ledger.Set(kSecond, 250));
  CHECK(ledger.Set(kFirst, 10));
  CHECK(ledger.Set(kSecond, 400));
  ledger.Release(kFirst);
  ledger.Release(kFirst);
  CHECK(ledger.Held() == 400);
}
