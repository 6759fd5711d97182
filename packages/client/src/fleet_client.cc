#include "fleet_client.h"

namespace lycheestand::client {

namespace json = boost::json;

namespace {

// Pause after each instance has been tried; an election takes a second or two.
constexpr Duration kRoundPause = std::chrono::milliseconds(250);

// Redirections that are followed without a pause, so that two instances that
// name each other are not asked in a loop.
constexpr int kMaxRedirections = 2;

std::string
TextAt(const json::value& aValue, const char* aPointer)
{
  json::error_code error;
  const auto* found = aValue.find_pointer(aPointer, error);
  return found != nullptr && found->is_string()
           ? std::string(found->get_string())
           : "";
}

ExitCode
CodeOf(unsigned aStatus, const std::string& aCode)
{
  if (aStatus == 401) {
    return ExitCode::Unauthorized;
  }
  return aCode == "version_conflict" ? ExitCode::Conflict : ExitCode::Refused;
}

std::string
Explain(const std::string& aCode, const std::string& aMessage)
{
  if (aCode == "version_conflict") {
    return "version_conflict: another change won; the base version is no "
           "longer in force. Look at it with \"config diff\" and apply again "
           "on the new version";
  }
  return aCode + ": " + aMessage;
}

} // namespace

CommandResult<json::value>
FleetClient::Ask(const std::string& aMethod,
                 const std::string& aTarget,
                 const json::object& aBody)
{
  AdminRequest request{
    aMethod, aTarget, this->bearer, aBody.empty() ? "" : json::serialize(aBody)
  };
  const TimePoint deadline = this->environment.now() + this->patience;
  bool mayHaveRun = false;
  int redirections = 0;
  std::size_t tried = 0;
  std::size_t next = 0;
  for (;;) {
    Attempt attempt = this->Try(this->settings.control[next], request);
    if (attempt.result) {
      return std::move(*attempt.result);
    }
    mayHaveRun |= attempt.mayHaveRun;
    std::size_t named = this->IndexOf(attempt.leader);
    if (named < this->settings.control.size() && named != next &&
        redirections++ < kMaxRedirections) {
      next = named;
      continue;
    }
    next = (next + 1) % this->settings.control.size();
    if (++tried % this->settings.control.size() != 0) {
      continue;
    }
    if (this->environment.now() + kRoundPause >= deadline) {
      return this->GiveUp(mayHaveRun && aMethod != "GET", this->lastProblem);
    }
    redirections = 0;
    this->environment.wait(kRoundPause);
  }
}

FleetClient::Attempt
FleetClient::Try(const settings::AdminAddress& aControl,
                 const AdminRequest& aRequest)
{
  const std::string name =
    aControl.instance.Get() + " (" + ToString(aControl.admin) + ")";
  auto sent = this->environment.send(aControl.admin, aRequest);
  if (sent.has_error()) {
    bool isLost = sent.error() == SendFailure::NoAnswer;
    this->lastProblem =
      name + (isLost ? " did not answer" : " could not be reached");
    return { std::nullopt, {}, isLost };
  }
  json::error_code error;
  json::value answer = json::parse(sent.value().body, error);
  const unsigned status = sent.value().status;
  if (!error && status == 200) {
    return { CommandResult<json::value>(std::move(answer)), {}, false };
  }
  const std::string code = TextAt(answer, "/error/code");
  if (error || status >= 500) {
    this->lastProblem = name + " answered " + std::to_string(status) +
                        (code.empty() ? "" : " " + code);
    // Only an answer that says so proves that the change was not made.
    bool isSafe = TextAt(answer, "/error/ran") == "not_run";
    return { std::nullopt,
             InstanceId(TextAt(answer, "/error/leader")),
             !isSafe };
  }
  return { CommandResult<json::value>(
             CommandFailure{ CodeOf(status, code),
                             Explain(code, TextAt(answer, "/error/message")) }),
           {},
           false };
}

std::size_t
FleetClient::IndexOf(const InstanceId& aInstance) const
{
  std::size_t index = 0;
  while (index < this->settings.control.size() &&
         this->settings.control[index].instance != aInstance) {
    ++index;
  }
  return index;
}

CommandFailure
FleetClient::GiveUp(bool aMayHaveRun, const std::string& aLast) const
{
  if (aMayHaveRun) {
    return { ExitCode::Unknown,
             "the answer was lost and the change may have been made; resend "
             "it with the same --change-id. Last: " +
               aLast };
  }
  return { ExitCode::Unavailable,
           "no control instance that leads could be reached; nothing was "
           "changed. Last: " +
             aLast };
}

CommandResult<json::value>
FleetClient::Dump(const InstanceId& aInstance)
{
  std::vector<settings::AdminAddress> known = this->settings.instances;
  known.insert(
    known.end(), this->settings.control.begin(), this->settings.control.end());
  for (const auto& entry : known) {
    if (entry.instance != aInstance) {
      continue;
    }
    Attempt attempt = this->Try(entry, { "GET", "/dump", this->bearer, "" });
    if (attempt.result) {
      return std::move(*attempt.result);
    }
    return CommandFailure{ ExitCode::Unavailable, this->lastProblem };
  }
  return CommandFailure{ ExitCode::Usage,
                         "no admin address of \"" + aInstance.Get() +
                           "\" is known; name it with --instance or in the "
                           "client file's \"instances\"" };
}

std::vector<ControlState>
FleetClient::Survey()
{
  std::vector<ControlState> states;
  for (const auto& control : this->settings.control) {
    ControlState state{ control.instance, control.admin, "unreachable", {} };
    Attempt attempt =
      this->Try(control, { "GET", "/admin/status", this->bearer, "" });
    if (attempt.result && attempt.result->has_value()) {
      state.state = "leader";
      state.status = std::move(attempt.result->value());
    } else if (attempt.result) {
      state.state = "refused";
    } else if (this->lastProblem.find("not_leader") != std::string::npos) {
      state.state = "follower";
    }
    states.push_back(std::move(state));
  }
  return states;
}

} // namespace lycheestand::client
