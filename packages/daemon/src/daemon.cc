#include "daemon.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <caf/actor_system_config.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <optional>
#include <sodium.h>
#include <utility>
#include <vector>

namespace lycheestand::daemon {

namespace {

constexpr int kExitSettings = 2;
constexpr int kExitStart = 3;

// Pause between two looks at the settings file; its seeds are of use only once
// they are needed, which is when a link is lost.
constexpr Duration kFileWatchInterval = std::chrono::seconds(1);

// Longest wait for operators' requests in flight.
constexpr Duration kAdminStopLimit = std::chrono::seconds(5);

net::LogLevel
ParseLevel(const std::string& aText)
{
  if (aText == "debug") {
    return net::LogLevel::Debug;
  }
  if (aText == "warning") {
    return net::LogLevel::Warning;
  }
  return aText == "error" ? net::LogLevel::Error : net::LogLevel::Info;
}

// The process's scheduler, I/O context and roles.
class Process
{
public:
  Process(const settings::ProcessSettings& aSettings,
          std::optional<platform::NodeSettings> aNode)
    : settings(aSettings)
    , node(std::move(aNode))
    , system(Configure(this->config, aSettings.threads))
    , runtime{ &this->system, &this->io }
    , signals(this->io, SIGTERM, SIGINT)
    , reloadSignal(this->io, SIGHUP)
    , fileTimer(this->io)
  {
  }

  int Run()
  {
    auto key = LoadKey(this->settings);
    if (key.has_error()) {
      std::cerr << "lycheestandd: " << key.error() << "\n";
      return kExitSettings;
    }
    auto started = this->Start(key.value());
    if (started.has_error()) {
      std::cerr << "lycheestandd: " << started.error() << "\n";
      return kExitStart;
    }
    net::Log(net::LogLevel::Info, "started");
    this->WaitForSignal();
    this->WaitForReload();
    this->WatchFile();
    this->io.run();
    net::Log(net::LogLevel::Info, "stopped");
    return 0;
  }

private:
  static Result<net::FleetKey, std::string> LoadKey(
    const settings::ProcessSettings& aSettings)
  {
    if (aSettings.trustsNetwork) {
      return net::FleetKey::OfTrustedNetwork();
    }
    return net::FleetKey::Load(aSettings.fleetKeyFile);
  }

  // The default policy polls while idle; "sharing" waits.
  static caf::actor_system_config& Configure(caf::actor_system_config& aConfig,
                                             std::size_t aThreads)
  {
    aConfig.set("scheduler.policy", caf::atom("sharing"));
    aConfig.set("scheduler.max-threads", aThreads);
    return aConfig;
  }

  Result<void, std::string> Start(const net::FleetKey& aKey)
  {
    auto pool = net::SpawnConnectionPool(this->runtime);
    if (this->settings.role != settings::Role::Router) {
      auto control = control::StartControl(
        this->runtime,
        pool,
        this->settings,
        aKey,
        this->node ? platform::MakeListFormat() : discovery::MakePlainFormat());
      if (control.has_error()) {
        return control.error();
      }
      this->control = std::move(control.value());
    }
    if (this->settings.role != settings::Role::Control) {
      std::optional<router::RouteProtocol> protocol;
      if (this->node) {
        protocol = platform::MakeRouteProtocol();
      }
      auto router = router::StartRouter(
        this->runtime, pool, this->settings, aKey, protocol);
      if (router.has_error()) {
        return router.error();
      }
      this->router = std::move(router.value());
      this->router->OnDrainRequest([this] { this->StopAdmin(); });
    }
    auto admin = StartAdminServer(this->runtime,
                                  pool,
                                  this->settings,
                                  this->router.get(),
                                  this->control.get());
    if (admin.has_error()) {
      return admin.error();
    }
    this->admin = admin.value();
    return this->StartPlatformServers(pool);
  }

  // Starts the servers that only the platform's callers know.
  Result<void, std::string> StartPlatformServers(const caf::actor& aPool)
  {
    if (!this->node) {
      return boost::outcome_v2::success();
    }
    std::vector<std::pair<Address, net::HttpHandler>> servers;
    if (this->router && this->node->readyAddress) {
      servers.emplace_back(*this->node->readyAddress,
                           platform::MakeReadyHandler(*this->router));
    }
    if (this->router && this->node->directoryAddress) {
      servers.emplace_back(*this->node->directoryAddress,
                           platform::MakeDirectoryHandler(*this->router));
    }
    if (this->control && this->node->operatorAddress) {
      const auto& address = *this->node->operatorAddress;
      servers.emplace_back(
        address, platform::MakeOperatorHandler(*this->control, address.port));
    }
    for (auto& [address, handler] : servers) {
      auto server =
        net::SpawnHttpServer(this->runtime, aPool, address, {}, handler);
      if (server.has_error()) {
        return server.error();
      }
      this->platformServers.push_back(server.value());
    }
    return boost::outcome_v2::success();
  }

  void WaitForSignal()
  {
    this->signals.async_wait([this](boost::system::error_code aError, int) {
      if (aError) {
        return;
      }
      if (this->router) {
        this->router->Drain([this] { this->StopAdmin(); });
      } else {
        this->StopAdmin();
      }
    });
  }

  void WaitForReload()
  {
    this->reloadSignal.async_wait(
      [this](boost::system::error_code aError, int) {
        if (!aError) {
          this->Reload("signal");
          this->WaitForReload();
        }
      });
  }

  // The platform may change its settings file without a signal.
  void WatchFile()
  {
    if (!this->node) {
      return;
    }
    std::error_code error;
    auto changed = std::filesystem::last_write_time(this->node->file, error);
    if (!error && changed != this->fileChanged) {
      if (this->fileChanged != std::filesystem::file_time_type{}) {
        this->Reload("file");
      }
      this->fileChanged = changed;
    }
    this->fileTimer.expires_after(kFileWatchInterval);
    this->fileTimer.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        this->WatchFile();
      }
    });
  }

  // Of a process that runs, only the seeds can change; the product's own
  // settings are read at the start only.
  void Reload(const char* aCause)
  {
    if (!this->node) {
      net::Log(net::LogLevel::Info,
               "settings are read at the start only",
               { { "event", "reload" }, { "cause", aCause } });
      return;
    }
    auto read = platform::LoadNodeSettings(this->node->file);
    if (read.has_error()) {
      net::Log(net::LogLevel::Error,
               "the settings file can't be used; the settings stay",
               { { "event", "reload" },
                 { "cause", aCause },
                 { "problem", settings::ToString(read.error()) } });
      return;
    }
    const auto& members = read.value().process.control;
    net::Log(net::LogLevel::Info,
             "settings reloaded",
             { { "event", "reload" },
               { "cause", aCause },
               { "seeds", std::to_string(members.size()) } });
    if (this->router && !members.empty()) {
      this->router->SetControl(members);
    }
  }

  // Operators' requests in flight finish before the process ends.
  void StopAdmin()
  {
    net::StopServer(
      this->runtime, this->admin, kAdminStopLimit, [this] { this->Stop(); });
  }

  void Stop()
  {
    boost::asio::post(this->io, [this] { this->io.stop(); });
  }

  settings::ProcessSettings settings;
  std::optional<platform::NodeSettings> node;
  caf::actor_system_config config;
  boost::asio::io_context io;
  caf::actor_system system;
  net::Runtime runtime;
  boost::asio::signal_set signals;
  boost::asio::signal_set reloadSignal;
  boost::asio::steady_timer fileTimer;
  std::filesystem::file_time_type fileChanged{};
  caf::actor admin;
  std::vector<caf::actor> platformServers;
  std::unique_ptr<control::Control> control;
  std::unique_ptr<router::Router> router;
};

} // namespace

int
Format(const settings::ProcessSettings& aSettings)
{
  if (aSettings.role == settings::Role::Router) {
    std::cerr << "lycheestandd: a router has no data folder\n";
    return kExitSettings;
  }
  if (sodium_init() < 0) {
    std::cerr << "lycheestandd: no source of random numbers\n";
    return kExitStart;
  }
  auto formatted = control::FormatDataFolder(aSettings);
  if (formatted.has_error()) {
    std::cerr << "lycheestandd: " << formatted.error() << "\n";
    return kExitStart;
  }
  return 0;
}

namespace {

// The tasks hold sockets of the I/O context and handlers of each other, so the
// process ends without taking them apart; all that must last is on disk or at
// control by now.
int
RunProcess(const settings::ProcessSettings& aSettings,
           std::optional<platform::NodeSettings> aNode)
{
  if (sodium_init() < 0) {
    std::cerr << "lycheestandd: no source of random numbers\n";
    return kExitStart;
  }
  net::SetUpLogging(ParseLevel(aSettings.logLevel),
                    aSettings.logFormat == "json" ? net::LogFormat::Json
                                                  : net::LogFormat::Text,
                    aSettings.instance);
  auto* process = new Process(aSettings, std::move(aNode));
  int code = process->Run();
  net::FlushLog();
  std::_Exit(code);
}

} // namespace

int
Run(const settings::ProcessSettings& aSettings)
{
  return RunProcess(aSettings, std::nullopt);
}

int
RunOnPlatform(const platform::NodeSettings& aNode)
{
  return RunProcess(aNode.process, aNode);
}

} // namespace lycheestand::daemon
