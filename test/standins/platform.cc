// Stand-in for the platform's list of live and leaving instances. It serves the
// content that a JSON file had a given time ago, since the real list lags.

#include "standin.h"

#include <deque>
#include <fstream>
#include <sstream>
#include <tclap/CmdLine.h>

namespace lycheestand::standins {

namespace {

// Reads the file every 100 ms and stores its versions of the last aLag.
class ListReader : public net::IoTask
{
public:
  ListReader(caf::actor_config& aConfig,
             net::Runtime aRuntime,
             std::string aPath,
             Duration aLag)
    : net::IoTask(aConfig, aRuntime)
    , path(std::move(aPath))
    , lag(aLag)
  {
  }

protected:
  void Start() override { this->Poll(); }

  caf::message_handler Handlers() override
  {
    return { [this](int) { return this->LaggedList(); } };
  }

private:
  void Poll()
  {
    std::ifstream file(this->path);
    std::ostringstream text;
    text << file.rdbuf();
    auto now = net::Now(this->GetRuntime());
    if (this->snapshots.empty() ||
        this->snapshots.back().second != text.str()) {
      this->snapshots.emplace_back(now, text.str());
    }
    while (this->snapshots.size() > 1 &&
           this->snapshots[1].first + this->lag <= now) {
      this->snapshots.pop_front();
    }
    this->After(std::chrono::milliseconds(100), [this] { this->Poll(); });
  }

  std::string LaggedList() const { return this->snapshots.front().second; }

  std::string path;
  Duration lag;
  std::deque<std::pair<TimePoint, std::string>> snapshots;
};

} // namespace

} // namespace lycheestand::standins

int
main(int aCount, char** aArguments)
{
  using namespace lycheestand;
  TCLAP::CmdLine line("Stand-in for the platform's list of instances");
  TCLAP::ValueArg<std::string> address(
    "a", "address", "host:port to listen on", true, "", "address", line);
  TCLAP::ValueArg<std::string> file(
    "f", "file", "JSON file with the list", true, "", "file", line);
  TCLAP::ValueArg<int> lag(
    "l", "lag-ms", "age of the list that is served", false, 500, "ms", line);
  line.parse(aCount, aArguments);
  auto make = [&](const net::Runtime& aRuntime,
                  const caf::actor&) -> net::HttpHandler {
    auto reader = aRuntime.system->spawn<standins::ListReader>(
      aRuntime, file.getValue(), std::chrono::milliseconds(lag.getValue()));
    return [reader](const net::ExchangePtr& aExchange) {
      aExchange->Task()
        .request(reader, caf::infinite, 0)
        .then([aExchange](std::string& aBody) {
          aExchange->Respond({ 200,
                               { { "Content-Type", "application/json" } },
                               std::move(aBody) });
        });
    };
  };
  return standins::RunStandin(
    "platform", ParseAddress(address.getValue()).value(), make);
}
