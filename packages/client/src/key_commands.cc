#include "command_line.h"
#include "secret_file.h"

#include <fstream>

namespace lycheestand::client {

namespace json = boost::json;

namespace {

// Returns a new key. With a file, the key is in it before control hears of its
// hash, and a resent command takes the key from there.
std::string
PrepareKey(const std::string& aPath)
{
  if (aPath.empty()) {
    return MakeBearerKey();
  }
  std::ifstream file(aPath);
  std::string key;
  if (file >> key) {
    return key;
  }
  key = MakeBearerKey();
  std::string problem = WriteSecret(aPath, key + "\n");
  if (!problem.empty()) {
    throw CommandError{ { ExitCode::Usage, problem } };
  }
  return key;
}

ExitCode
CreateKey(CommandLine& aLine, const Arguments& aArguments)
{
  TCLAP::UnlabeledValueArg<std::string> name(
    "key", "name of the key", true, "", "key", aLine.Line());
  TCLAP::ValueArg<std::string> workspace("w",
                                         "workspace",
                                         "workspace that pays",
                                         true,
                                         "",
                                         "workspace",
                                         aLine.Line());
  TCLAP::ValueArg<std::string> site(
    "s", "site", "site of the callers", false, "", "site", aLine.Line());
  TCLAP::ValueArg<std::string> file(
    "",
    "key-file",
    "file for the key, written before the change is sent; if it exists, its "
    "key is sent again",
    false,
    "",
    "file",
    aLine.Line());
  aLine.AddFleetOptions();
  aLine.AddChangeOption();
  aLine.Parse(aArguments);
  FleetClient client = aLine.Connect();
  std::string key = PrepareKey(file.getValue());
  Require(client.Ask("POST",
                     "/admin/keys",
                     { { "change_id", aLine.StartChange() },
                       { "key", name.getValue() },
                       { "hash", HashBearerKey(key).Get() },
                       { "workspace", workspace.getValue() },
                       { "site", site.getValue() } }));
  aLine.Out() << "key: " << key << "\n";
  return ExitCode::Done;
}

ExitCode
RevokeKey(CommandLine& aLine, const Arguments& aArguments)
{
  TCLAP::UnlabeledValueArg<std::string> name(
    "key", "name of the key", true, "", "key", aLine.Line());
  aLine.AddFleetOptions();
  aLine.AddChangeOption();
  aLine.Parse(aArguments);
  FleetClient client = aLine.Connect();
  Require(client.Ask(
    "POST",
    "/admin/keys/revoke",
    { { "change_id", aLine.StartChange() }, { "key", name.getValue() } }));
  aLine.Out() << "revoked key " << name.getValue() << "\n";
  return ExitCode::Done;
}

ExitCode
ListKeys(CommandLine& aLine, const Arguments& aArguments)
{
  aLine.AddFleetOptions();
  aLine.AddJsonOption();
  aLine.Parse(aArguments);
  FleetClient client = aLine.Connect();
  json::value rows = Require(client.Ask("GET", "/admin/keys"));
  if (aLine.WantsJson()) {
    aLine.Out() << json::serialize(rows) << "\n";
  } else {
    PrintRows(aLine.Out(), rows, { "key", "workspace", "site" });
  }
  return ExitCode::Done;
}

void
WriteNewSecret(const std::string& aPath, const std::string& aText)
{
  std::string problem = WriteSecret(aPath, aText + "\n");
  if (!problem.empty()) {
    throw CommandError{ { ExitCode::Usage, problem } };
  }
}

ExitCode
MakeFleetSecret(CommandLine& aLine, const Arguments& aArguments)
{
  TCLAP::UnlabeledValueArg<std::string> file(
    "file", "new file, mode 0600", true, "", "file", aLine.Line());
  aLine.Parse(aArguments);
  WriteNewSecret(file.getValue(), MakeFleetKey());
  aLine.Out() << "wrote " << file.getValue() << "\n";
  return ExitCode::Done;
}

ExitCode
MakeOperatorSecret(CommandLine& aLine, const Arguments& aArguments)
{
  TCLAP::UnlabeledValueArg<std::string> file(
    "file", "new file, mode 0600", true, "", "file", aLine.Line());
  aLine.Parse(aArguments);
  std::string key = MakeBearerKey();
  WriteNewSecret(file.getValue(), key);
  aLine.Out() << HashBearerKey(key).Get() << "\n";
  return ExitCode::Done;
}

} // namespace

std::vector<Command>
KeyCommands()
{
  return {
    { "key create", "Create a caller's key and print it once", CreateKey },
    { "key revoke", "End a caller's key", RevokeKey },
    { "key list", "List the callers' keys without their secrets", ListKeys },
    { "secret fleet",
      "Write a new fleet key, which all processes share",
      MakeFleetSecret },
    { "secret operator",
      "Write a new operator's key and print its hash for the settings",
      MakeOperatorSecret },
  };
}

} // namespace lycheestand::client
