// Fault-injecting TCP proxy for several links, each a pair of a listening and a
// target address. POST /links/NAME sets the faults of a link, GET /links
// returns the counters of all links.

#include "proxy_link.h"
#include "standin.h"

#include <boost/json.hpp>
#include <sstream>
#include <tclap/CmdLine.h>

namespace lycheestand::standins {

namespace json = boost::json;

namespace {

struct ProxyCommand
{
  net::HttpRequest request;
};

// A link on the command line: "name=listen,target".
struct LinkArgument
{
  std::string name;
  Address listen;
  Address target;
};

} // namespace

} // namespace lycheestand::standins

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::standins::ProxyCommand)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lycheestand::net::HttpResponse)

namespace lycheestand::standins {

namespace {

// Task that owns all links and their sockets.
class Proxy : public net::IoTask
{
public:
  Proxy(caf::actor_config& aConfig,
        net::Runtime aRuntime,
        std::vector<LinkArgument> aLinks)
    : net::IoTask(aConfig, aRuntime)
    , arguments(std::move(aLinks))
  {
  }

protected:
  void Start() override
  {
    for (const auto& argument : this->arguments) {
      this->links.emplace(
        argument.name,
        std::make_unique<ProxyLink>(*this, argument.listen, argument.target));
    }
  }

  caf::message_handler Handlers() override
  {
    return { [this](ProxyCommand& aCommand) {
      return this->Answer(aCommand.request);
    } };
  }

private:
  net::HttpResponse Answer(const net::HttpRequest& aRequest)
  {
    constexpr std::string_view kLinks = "/links/";
    if (aRequest.method == "GET" && aRequest.target == "/links") {
      return { 200, {}, this->FormatLinks() };
    }
    auto found = aRequest.target.starts_with(kLinks)
                   ? this->links.find(aRequest.target.substr(kLinks.size()))
                   : this->links.end();
    if (found == this->links.end()) {
      return { 404, {}, "" };
    }
    auto faults = found->second->Faults();
    if (!ReadFaults(aRequest.body, faults)) {
      return { 400, {}, "" };
    }
    found->second->SetFaults(faults);
    return { 200, {}, "{}" };
  }

  // Reads
  // {"fault":"cut|block|drop_forward|drop_backward|delay|close_after|heal"}
  // with "ms" for delay, and "bytes" and "times" for close_after. Faults add up
  // until heal. Returns false if the body is malformed.
  static bool ReadFaults(const std::string& aBody, LinkFaults& aFaults)
  {
    json::error_code error;
    auto body = json::parse(aBody, error);
    const auto* fault = body.find_pointer("/fault", error);
    if (fault == nullptr || !fault->is_string()) {
      return false;
    }
    auto number = [&](const char* aPointer) {
      const auto* value = body.find_pointer(aPointer, error);
      return value == nullptr ? 0 : value->to_number<int>();
    };
    const auto& name = fault->get_string();
    if (name == "heal") {
      aFaults = {};
    } else if (name == "cut") {
      aFaults.isCut = true;
    } else if (name == "block") {
      aFaults.holdsForward = true;
      aFaults.holdsBackward = true;
    } else if (name == "drop_forward") {
      aFaults.holdsForward = true;
    } else if (name == "drop_backward") {
      aFaults.holdsBackward = true;
    } else if (name == "delay") {
      aFaults.delay = std::chrono::milliseconds(number("/ms"));
    } else if (name == "close_after") {
      aFaults.closeAfterBytes = static_cast<std::size_t>(number("/bytes"));
      aFaults.remainingCloses = number("/times");
    } else {
      return false;
    }
    return true;
  }

  std::string FormatLinks() const
  {
    json::object out;
    for (const auto& [name, link] : this->links) {
      const auto& counts = link->Counts();
      out[name] = { { "accepted", counts.accepted },
                    { "forward_bytes", counts.forwardBytes },
                    { "backward_bytes", counts.backwardBytes },
                    { "closed_mid_stream", counts.closedMidStream } };
    }
    return json::serialize(out);
  }

  std::vector<LinkArgument> arguments;
  std::map<std::string, std::unique_ptr<ProxyLink>> links;
};

LinkArgument
ParseLink(const std::string& aText)
{
  auto equals = aText.find('=');
  auto comma = aText.find(',');
  return { aText.substr(0, equals),
           ParseAddress(aText.substr(equals + 1, comma - equals - 1)).value(),
           ParseAddress(aText.substr(comma + 1)).value() };
}

} // namespace

} // namespace lycheestand::standins

int
main(int aCount, char** aArguments)
{
  using namespace lycheestand;
  TCLAP::CmdLine line("Fault-injecting TCP proxy");
  TCLAP::ValueArg<std::string> address("a",
                                       "address",
                                       "host:port of the HTTP interface",
                                       true,
                                       "",
                                       "address",
                                       line);
  TCLAP::MultiArg<std::string> links(
    "l", "link", "name=listen,target", true, "link", line);
  line.parse(aCount, aArguments);
  std::vector<standins::LinkArgument> parsed;
  for (const auto& text : links.getValue()) {
    parsed.push_back(standins::ParseLink(text));
  }
  return standins::RunStandin(
    "proxy",
    ParseAddress(address.getValue()).value(),
    [&](const net::Runtime& aRuntime, const caf::actor&) -> net::HttpHandler {
      auto proxy = aRuntime.system->spawn<standins::Proxy>(aRuntime, parsed);
      return [proxy](const net::ExchangePtr& aExchange) {
        aExchange->Task()
          .request(proxy,
                   caf::infinite,
                   standins::ProxyCommand{ aExchange->Request() })
          .then([aExchange](net::HttpResponse& aResponse) {
            aExchange->Respond(std::move(aResponse));
          });
      };
    });
}
