#include "fleet_client.h"

namespace lycheestand::client {

namespace json = boost::json;

namespace {

// Delay before the next round, after every control instance has been tried. An
// election takes a second or two.
constexpr Duration kRetryDelay = std::chrono::milliseconds(250);

// Limit of redirections to a named leader within one round. It ends the loop if
// two instances name each other.
constexpr int kMaxRedirections = 2;

std::string
GetStringAt(const json::value& aValue, const char* aPointer)
{
  json::error_code error;
  const auto* found = aValue.find_pointer(aPointer, error);
  return found != nullptr && found->is_string()
           ? std::string(found->get_string())
           : "";
}

ExitCode
ToExitCode(unsigned aStatus, const std::string& aCode)
{
  if (aStatus == 401) {
    return ExitCode::Unauthorized;
  }
  return aCode == "version_conflict" ? ExitCode::Conflict : ExitCode::Refused;
}

std::string
FormatRefusal(const std::string& aCode, const std::string& aMessage)
{
  if (aCode == "version_conflict") {
    return "version_conflict: another change was applied first; the base "
           "version is no longer in force. Compare with \"config diff\" and "
           "apply again with the new --base-version";
  }
  return aCode + ": " + aMessage;
}

} // namespace

CommandResult<json::value>
FleetClient::SendToLeader(const std::string& aMethod,
                          const std::string& aTarget,
                          const json::object& aBody)
{
  AdminRequest request{
    aMethod, aTarget, this->bearer, aBody.empty() ? "" : json::serialize(aBody)
  };
  const TimePoint deadline = this->environment.now() + this->timeout;
  bool mayHaveRun = false;
  int redirections = 0;
  std::size_t attempts = 0;
  std::size_t next = 0;
  for (;;) {
    Attempt attempt = this->SendOnce(this->settings.control[next], request);
    if (attempt.result) {
      return std::move(*attempt.result);
    }
    mayHaveRun |= attempt.mayHaveRun;
    std::size_t leaderIndex = this->IndexOf(attempt.leader);
    if (leaderIndex < this->settings.control.size() && leaderIndex != next &&
        redirections++ < kMaxRedirections) {
      next = leaderIndex;
      continue;
    }
    next = (next + 1) % this->settings.control.size();
    if (++attempts % this->settings.control.size() != 0) {
      continue;
    }
    if (this->environment.now() + kRetryDelay >= deadline) {
      return this->MakeTimeoutFailure(mayHaveRun && aMethod != "GET",
                                      this->lastError);
    }
    redirections = 0;
    this->environment.wait(kRetryDelay);
  }
}

FleetClient::Attempt
FleetClient::SendOnce(const settings::AdminAddress& aControl,
                      const AdminRequest& aRequest)
{
  const std::string name =
    aControl.instance.Get() + " (" + ToString(aControl.admin) + ")";
  auto sent = this->environment.send(aControl.admin, aRequest);
  if (sent.has_error()) {
    bool isUnanswered = sent.error() == SendFailure::NoAnswer;
    this->lastError =
      name + (isUnanswered ? " did not answer" : " could not be reached");
    return { std::nullopt, {}, isUnanswered };
  }
  json::error_code error;
  json::value response = json::parse(sent.value().body, error);
  const unsigned status = sent.value().status;
  if (!error && status == 200) {
    return { CommandResult<json::value>(std::move(response)), {}, false };
  }
  const std::string code = GetStringAt(response, "/error/code");
  if (error || status >= 500) {
    this->lastError = name + " responded with status " +
                      std::to_string(status) + (code.empty() ? "" : " " + code);
    // Only a response that states it proves that the change was not made.
    bool isNotRun = GetStringAt(response, "/error/ran") == "not_run";
    return { std::nullopt,
             InstanceId(GetStringAt(response, "/error/leader")),
             !isNotRun };
  }
  return { CommandResult<json::value>(CommandFailure{
             ToExitCode(status, code),
             FormatRefusal(code, GetStringAt(response, "/error/message")) }),
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
FleetClient::MakeTimeoutFailure(bool aMayHaveRun,
                                const std::string& aLastError) const
{
  if (aMayHaveRun) {
    return { ExitCode::Unknown,
             "the response was lost and the change may have been made; resend "
             "it with the same --change-id. Last error: " +
               aLastError };
  }
  return { ExitCode::Unavailable,
           "no control leader could be reached; nothing was changed. Check "
           "with \"lycheestand status\". Last error: " +
             aLastError };
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
    Attempt attempt =
      this->SendOnce(entry, { "GET", "/dump", this->bearer, "" });
    if (attempt.result) {
      return std::move(*attempt.result);
    }
    return CommandFailure{ ExitCode::Unavailable, this->lastError };
  }
  return CommandFailure{ ExitCode::Usage,
                         "no admin address of \"" + aInstance.Get() +
                           "\" is known; name it with --instance or in the "
                           "client file's \"instances\"" };
}

std::vector<ControlState>
FleetClient::QueryControlInstances()
{
  std::vector<ControlState> states;
  for (const auto& control : this->settings.control) {
    ControlState state{ control.instance, control.admin, "unreachable", {} };
    Attempt attempt =
      this->SendOnce(control, { "GET", "/admin/status", this->bearer, "" });
    if (attempt.result && attempt.result->has_value()) {
      state.state = "leader";
      state.status = std::move(attempt.result->value());
    } else if (attempt.result) {
      state.state = "refused";
    } else if (this->lastError.find("not_leader") != std::string::npos) {
      state.state = "follower";
    }
    states.push_back(std::move(state));
  }
  return states;
}

} // namespace lycheestand::client
