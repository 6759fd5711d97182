#include "command_line.h"
#include "secret_file.h"

#include <fstream>

namespace lycheestand::client {

namespace json = boost::json;

namespace {

// Returns the key in the file, or a new one. A new key is written to the file
// before its hash is sent to control, so that a resent command sends the same
// key.
std::string
LoadOrCreateKey(const std::string& aPath)
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
  std::string error = WriteSecretFile(aPath, key + "\n");
  if (!error.empty()) {
    throw CommandError{ { ExitCode::Usage, error } };
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
                                         "workspace whose budget the key uses",
                                         true,
                                         "",
                                         "workspace",
                                         aLine.Line());
  TCLAP::ValueArg<std::string> site("s",
                                    "site",
                                    "site that the callers belong to",
                                    false,
                                    "",
                                    "site",
                                    aLine.Line());
  TCLAP::ValueArg<std::string> file(
    "",
    "key-file",
    "file for the key, written before the change is sent; the key of an "
    "existing file is reused",
    false,
    "",
    "file",
    aLine.Line());
  aLine.AddFleetOptions();
  aLine.AddChangeOption();
  aLine.Parse(aArguments);
  FleetClient client = aLine.Connect();
  std::string key = LoadOrCreateKey(file.getValue());
  ValueOrThrow(client.SendToLeader("POST",
                                   "/admin/keys",
                                   { { "change_id", aLine.PrintChangeId() },
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
  ValueOrThrow(client.SendToLeader(
    "POST",
    "/admin/keys/revoke",
    { { "change_id", aLine.PrintChangeId() }, { "key", name.getValue() } }));
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
  json::value rows = ValueOrThrow(client.SendToLeader("GET", "/admin/keys"));
  if (aLine.WantsJson()) {
    aLine.Out() << json::serialize(rows) << "\n";
  } else {
    PrintRows(aLine.Out(), rows, { "key", "workspace", "site" });
  }
  return ExitCode::Done;
}

void
WriteSecretOrThrow(const std::string& aPath, const std::string& aText)
{
  std::string error = WriteSecretFile(aPath, aText + "\n");
  if (!error.empty()) {
    throw CommandError{ { ExitCode::Usage, error } };
  }
}

ExitCode
MakeFleetSecret(CommandLine& aLine, const Arguments& aArguments)
{
  TCLAP::UnlabeledValueArg<std::string> file(
    "file", "file to create, mode 0600", true, "", "file", aLine.Line());
  aLine.Parse(aArguments);
  WriteSecretOrThrow(file.getValue(), MakeFleetKey());
  aLine.Out() << "wrote " << file.getValue() << "\n";
  return ExitCode::Done;
}

ExitCode
MakeOperatorSecret(CommandLine& aLine, const Arguments& aArguments)
{
  TCLAP::UnlabeledValueArg<std::string> file(
    "file", "file to create, mode 0600", true, "", "file", aLine.Line());
  aLine.Parse(aArguments);
  std::string key = MakeBearerKey();
  WriteSecretOrThrow(file.getValue(), key);
  aLine.Out() << HashBearerKey(key).Get() << "\n";
  return ExitCode::Done;
}

} // namespace

std::vector<Command>
KeyCommands()
{
  return {
    { "key create", "Create a caller's key and print it once", CreateKey },
    { "key revoke", "Revoke a caller's key", RevokeKey },
    { "key list", "List the callers' keys without their secrets", ListKeys },
    { "secret fleet",
      "Write a new fleet key, which all processes of a fleet share",
      MakeFleetSecret },
    { "secret operator",
      "Write a new operator's key and print its hash for "
      "operator_key_hashes",
      MakeOperatorSecret },
  };
}

} // namespace lycheestand::client
