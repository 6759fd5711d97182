#include "fleet.h"
#include "fleet_internal.h"

#include "../standins/answer_text.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <lycheestand/net.h>
#include <stdexcept>

namespace lycheestand::faults {

Fleet::Fleet(std::string aCase, unsigned aSeed, FleetOptions aOptions)
  : name(std::move(aCase))
  , seed(aSeed)
  , options(std::move(aOptions))
  , uncaughtExceptions(std::uncaught_exceptions())
  , paid(this->options.paid)
{
  std::ofstream(this->environment.Folder() / "fleet.key") << kFleetKey << "\n";
  this->MakeAddresses();
  if (this->options.isProxied) {
    this->StartProxy();
  }
  this->StartBackends();
  this->StartControls();
  this->StartRouters();
  this->SetUpWorkspace();
  for (int i = 0; i < this->options.routers; ++i) {
    if (!this->WaitUntilReady(i)) {
      throw std::runtime_error(
        NumberedName("r", i) +
        " did not become ready within 20 s; its log ends with: " +
        this->routers[i]->LogTail());
    }
  }
}

// A failed assertion throws, so the stack is being unwound when the case
// failed.
Fleet::~Fleet()
{
  bool hasFailed = std::uncaught_exceptions() > this->uncaughtExceptions;
  std::ostringstream line;
  line << "case " << this->name << " seed=" << this->seed;
  for (const auto& [key, value] : this->reportValues) {
    line << " " << key << "=" << value;
  }
  line << " result=" << (hasFailed ? "FAILED" : "passed");
  std::cout << line.str() << std::endl;
  if (const char* path = std::getenv("LYCHEESTAND_FAULTS_REPORT")) {
    std::ofstream(path, std::ios::app) << line.str() << "\n";
  }
  if (hasFailed) {
    for (const auto* group :
         { &this->controls, &this->routers, &this->engines, &this->records }) {
      for (const auto& process : *group) {
        std::cout << "---- " << process->Name() << "\n"
                  << process->LogTail() << "\n";
      }
    }
    std::cout << "all logs are kept in " << this->environment.Folder()
              << std::endl;
    this->environment.KeepFolder();
  }
}

std::string
Fleet::CallerKey()
{
  return kCallerKey;
}

Address
Fleet::EngineAddress(int aIndex) const
{
  return this->addresses.at(NumberedName("e", aIndex));
}

Address
Fleet::AdminAddress(const std::string& aName) const
{
  return this->addresses.at(aName + "-admin");
}

void
Fleet::SetFault(const std::string& aLink,
                const std::string& aFault,
                json::object aParameters)
{
  aParameters["fault"] = aFault;
  Call call{ "POST", "/links/" + aLink, {}, json::serialize(aParameters) };
  if (Send(this->addresses["proxy"], call).status != 200) {
    throw std::runtime_error("the proxy rejected the fault \"" + aFault +
                             "\" for link " + aLink);
  }
}

void
Fleet::SetRouterFault(int aRouter, const std::string& aFault)
{
  for (int i = 0; i < this->options.controls; ++i) {
    this->SetFault(NumberedName("r", aRouter) + "-" + NumberedName("c", i),
                   aFault);
  }
}

// "mute" and "deaf" are named from the instance's point of view, the proxy's
// faults from that of the connecting side.
void
Fleet::IsolateControl(int aControl, const std::string& aFault)
{
  std::string control = NumberedName("c", aControl);
  auto faultFor = [&](const char* aOutgoingFault,
                      const char* aIncomingFault) -> std::string {
    return aFault == "mute" ? aOutgoingFault
                            : (aFault == "deaf" ? aIncomingFault : aFault);
  };
  for (const auto& [linkName, ends] : this->links) {
    if (linkName.starts_with(control + "-")) {
      this->SetFault(linkName, faultFor("drop_forward", "drop_backward"));
    } else if (linkName.ends_with("-" + control)) {
      this->SetFault(linkName, faultFor("drop_backward", "drop_forward"));
    }
  }
}

Reply
Fleet::SendAdminRequestTo(int aControl,
                          const std::string& aMethod,
                          const std::string& aTarget,
                          const json::object& aBody,
                          Duration aTimeout)
{
  Call call{ aMethod,
             aTarget,
             { { "Authorization", std::string("Bearer ") + kOperatorKey } },
             aMethod == "GET" ? "" : json::serialize(aBody),
             aTimeout };
  return Send(this->addresses[NumberedName("c", aControl) + "-admin"], call);
}

// Resending is safe, since change ids make each change idempotent.
Reply
Fleet::SendAdminRequest(const std::string& aMethod,
                        const std::string& aTarget,
                        const json::object& aBody)
{
  Reply reply;
  WaitFor(20s, [&] {
    for (int i = 0; i < this->options.controls; ++i) {
      reply = this->SendAdminRequestTo(i, aMethod, aTarget, aBody);
      if (reply.isComplete && reply.status != 503) {
        return true;
      }
    }
    return false;
  });
  return reply;
}

json::value
Fleet::ReadAdminJson(const std::string& aTarget)
{
  Reply reply = this->SendAdminRequest("GET", aTarget);
  json::error_code error;
  return json::parse(reply.body, error);
}

Budget
Fleet::ReadBudget()
{
  Budget budget;
  auto all = this->ReadAdminJson("/admin/workspaces");
  if (!all.is_array() || all.as_array().empty()) {
    return budget;
  }
  const auto& object = all.as_array().front().as_object();
  auto read = [&](const char* aName) {
    return object.at(aName).to_number<std::int64_t>();
  };
  return { read("paid"),       read("spent"), read("granted"),
           read("unreported"), read("free"),  read("requests") };
}

void
Fleet::TopUp(std::int64_t aTokens)
{
  this->SendAdminRequest(
    "POST",
    "/admin/topups",
    { { "change_id", NumberedName("top-up-", ++this->nextChangeId) },
      { "workspace", "w1" },
      { "tokens", aTokens } });
  this->paid += aTokens;
}

Reply
Fleet::ApplyModels(const std::vector<std::string>& aModels,
                   std::uint64_t aBaseVersion,
                   const std::string& aChangeId)
{
  json::object models;
  for (const auto& model : aModels) {
    models[model] = { { "max_output_tokens", 64 }, { "min_output_tokens", 8 } };
  }
  auto route = [](const char* aMethod,
                  const char* aPath,
                  bool aRepeatable) -> json::value {
    return { { "method", aMethod },
             { "path", aPath },
             { "repeatable", aRepeatable } };
  };
  json::object document{
    { "models", models },
    { "services",
      { { "records",
          { { "timeout_ms", 4000 },
            { "routes",
              json::array{ route("POST", "/visits", false),
                           route("GET", "/units/", true) } } } } } },
    { "workspaces", { { "w1", { { "first_tokens", this->options.paid } } } } }
  };
  return this->SendAdminRequest("POST",
                                "/admin/config",
                                { { "change_id", aChangeId },
                                  { "base_version", aBaseVersion },
                                  { "document", json::serialize(document) } });
}

void
Fleet::RemoveData(int aControl)
{
  std::filesystem::remove_all(this->environment.Folder() /
                              (NumberedName("c", aControl) + "-data"));
}

// Compares disks, not instances: an instance that lost its disk takes part in
// the quorum only when its new disk is a voter.
bool
Fleet::WaitForFullQuorum(Duration aTimeout)
{
  return WaitFor(aTimeout, [this] {
    std::set<std::string> disks;
    std::set<std::string> voters;
    for (int i = 0; i < this->options.controls; ++i) {
      json::error_code error;
      auto dump =
        json::parse(this->SendAdminRequestTo(i, "GET", "/dump").body, error);
      const auto* disk = dump.find_pointer("/control/replica/disk", error);
      const auto* role = dump.find_pointer("/control/replica/role", error);
      const auto* list = dump.find_pointer("/control/replica/voters", error);
      if (disk == nullptr || role == nullptr || list == nullptr) {
        return false;
      }
      disks.emplace(disk->as_string());
      if (*role == "leader") {
        for (const auto& voter : list->as_array()) {
          voters.emplace(voter.at("disk").as_string());
        }
      }
    }
    return disks == voters;
  });
}

int
Fleet::FindLeader()
{
  for (int i = 0; i < this->options.controls; ++i) {
    if (this->controls[i]->IsRunning() &&
        this->SendAdminRequestTo(i, "GET", "/admin/status", {}, 1s).status ==
          200) {
      return i;
    }
  }
  return -1;
}

Reply
Fleet::PostBooking(int aRouter,
                   const std::string& aKey,
                   const std::string& aBody,
                   Duration aTimeout)
{
  Call call{ "POST",
             "/services/records/visits",
             { { "Authorization", std::string("Bearer ") + kCallerKey },
               { "Idempotency-Key", aKey },
               { "Content-Type", "application/json" } },
             aBody,
             aTimeout };
  return Send(this->routerAddresses[aRouter], call);
}

Reply
Fleet::GetFromRouter(int aRouter, const std::string& aTarget, Duration aTimeout)
{
  Call call{ "GET",
             aTarget,
             { { "Authorization", std::string("Bearer ") + kCallerKey } },
             "",
             aTimeout };
  return Send(this->routerAddresses[aRouter], call);
}

Reply
Fleet::SendToEngine(int aIndex,
                    const std::string& aTarget,
                    const std::string& aMethod)
{
  return Send(this->addresses[NumberedName("e", aIndex)],
              { aMethod, aTarget, {}, "", 5s });
}

json::object
Fleet::ExecutionCounts()
{
  json::object all;
  for (int i = 0; i < this->options.records; ++i) {
    Reply reply =
      Send(this->addresses[NumberedName("s", i)], { "GET", "/executions" });
    json::error_code error;
    auto parsed = json::parse(reply.body, error);
    if (!parsed.is_object()) {
      continue;
    }
    for (const auto& [key, count] : parsed.as_object()) {
      auto& sum = all[key];
      sum = (sum.is_null() ? 0 : sum.as_int64()) + count.as_int64();
    }
  }
  return all;
}

bool
Fleet::WaitUntilSettled(Duration aTimeout)
{
  return WaitFor(aTimeout, [this] { return this->ReadBudget().granted == 0; });
}

// A router is ready when it has a configuration and knows all endpoints.
bool
Fleet::WaitUntilReady(int aRouter, Duration aTimeout)
{
  auto all =
    static_cast<std::size_t>(this->options.engines + this->options.records) +
    this->options.outsideEngines.size() + this->options.outsideServices.size();
  return WaitFor(aTimeout, [&] {
    if (this->GetFromRouter(aRouter, "/v1/models").status != 200) {
      return false;
    }
    Call call{ "GET",
               "/dump",
               { { "Authorization", std::string("Bearer ") + kOperatorKey } },
               "",
               5s };
    Reply reply =
      Send(this->addresses[NumberedName("r", aRouter) + "-admin"], call);
    json::error_code error;
    auto dump = json::parse(reply.body, error);
    const auto* known = dump.find_pointer("/router/endpoint", error);
    return known != nullptr && known->is_array() &&
           known->as_array().size() == all;
  });
}

bool
Fleet::HasRun(const std::string& aId) const
{
  for (const auto* group : { &this->engines, &this->records }) {
    for (const auto& process : *group) {
      std::string log = process->Log();
      if (log.find("begun " + aId + "\n") != std::string::npos ||
          log.find("ran " + aId + "\n") != std::string::npos) {
        return true;
      }
    }
  }
  return false;
}

void
Fleet::AddReportValue(const std::string& aName, std::int64_t aValue)
{
  this->reportValues.emplace_back(aName, aValue);
}

} // namespace lycheestand::faults
