// Guarantees 6 and 7 (docs/design.md, section 1): a leaving endpoint receives
// no new requests, and a planned stop interrupts none.

#include "fleet.h"
#include "platform_fleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>

namespace lycheestand::faults {

namespace {

std::int64_t
CountRefused(Fleet& aFleet, int aEngine)
{
  json::error_code error;
  auto counts =
    json::parse(aFleet.SendToEngine(aEngine, "/counts").body, error);
  return counts.at("refused").to_number<std::int64_t>();
}

} // namespace

// Guards against requests that are still sent to an engine seconds after it
// reported that it is leaving, because the platform list lags.
TEST_CASE("a leaving engine receives no new requests although the list lags",
          "[leaving]")
{
  FleetOptions options;
  options.platformLagMs = 100;
  Fleet fleet("leaving", 41, options);
  LoadGenerator load(fleet, {});
  std::this_thread::sleep_for(1s);
  fleet.SendToEngine(0, "/leave", "POST");
  std::this_thread::sleep_for(4s);
  std::int64_t before = CountRefused(fleet, 0);
  std::this_thread::sleep_for(4s);
  std::int64_t after = CountRefused(fleet, 0);
  load.Stop();
  fleet.AddReportValue("sent_within_4s", before);
  fleet.AddReportValue("sent_later", after - before);
  fleet.AddReportValue("whole", load.Count(ChatOutcome::Complete));
  fleet.AddReportValue("errors", load.Count(ChatOutcome::Error));
  REQUIRE(after == before);
  REQUIRE(load.Count(ChatOutcome::Complete) > 0);
  REQUIRE(load.Count(ChatOutcome::Error) == 0);
}

// Guards against streams that a planned stop interrupts, callers refused while
// their cached entry response is still valid, and usage that is never reported.
TEST_CASE("a planned stop interrupts no stream and reports all tokens",
          "[planned-stop]")
{
  FleetOptions options;
  options.entryCacheMs = 2000;
  options.engineArguments = { "--per-token-us", "60000" };
  Fleet fleet("planned-stop", 42, options);
  LoadGeneratorOptions firstRouterOnly;
  firstRouterOnly.routers = { 0 };
  firstRouterOnly.streamedPercent = 70;
  LoadGenerator load(fleet, firstRouterOnly);
  std::this_thread::sleep_for(1s);
  auto stopSentAt = Clock::now();
  fleet.Router(0).Signal(SIGTERM);
  // Callers may cache an entry response for 2 s (entry_keep_ms), and send no
  // new requests to this router after that.
  std::this_thread::sleep_until(stopSentAt + 2s);
  load.Stop();
  int code = fleet.Router(0).WaitForExit(20s);
  bool isSettled = fleet.WaitUntilSettled();
  Budget budget = fleet.ReadBudget();
  fleet.AddReportValue("whole", load.Count(ChatOutcome::Complete));
  fleet.AddReportValue("cut_streams", load.Count(ChatOutcome::Truncated));
  fleet.AddReportValue("no_answer", load.Count(ChatOutcome::NoResponse));
  fleet.AddReportValue("told", load.CompletedTokens());
  fleet.AddReportValue("spent", budget.spent);
  fleet.AddReportValue("stranded", budget.granted + budget.unreported);
  REQUIRE(code == 0);
  REQUIRE(load.Count(ChatOutcome::Complete) ==
          static_cast<int>(load.Answers().size()));
  REQUIRE(isSettled);
  REQUIRE(budget.unreported == 0);
  REQUIRE(budget.spent == load.CompletedTokens());
}

// Guards against an operator's request that gets neither an answer nor a
// refusal, since its control instance is being stopped.
TEST_CASE("a stopping control instance answers a request that it reads",
          "[control-stop]")
{
  PlatformFleet fleet("control-stop");
  MachineOptions options;
  options.seeds = { 1 };
  options.bootstrap = true;
  options.toleratedLosses = 0;
  fleet.StartControl(1, options);
  REQUIRE(WaitFor(60s, [&] { return fleet.PutConfiguration(1, 1) == 200; }));
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  Address address = fleet.OperatorAddress(1);
  socket.connect({ boost::asio::ip::make_address(address.host), address.port });
  const std::string begin = "GET /config HTTP/1.1\r\nHost: x\r\n";
  boost::asio::write(socket, boost::asio::buffer(begin));
  std::this_thread::sleep_for(300ms);
  fleet.Machine(1).Signal(SIGTERM);
  std::this_thread::sleep_for(500ms);
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer("\r\n", 2), error);
  std::string answer;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(fleet.Machine(1).WaitForExit(10s) == 0);
}

} // namespace lycheestand::faults
