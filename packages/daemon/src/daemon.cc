#include "daemon.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/send.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <optional>
#include <sodium.h>
#include <utility>
#include <vector>

namespace lycheestand::daemon {

namespace {

constexpr int kExitSettingsError = 2;
constexpr int kExitStartError = 3;

// Interval of the checks for a changed settings file. It needn't be shorter,
// because the control addresses in the file are needed only for new links.
constexpr Duration kFileWatchInterval = std::chrono::seconds(1);

// Time limit for requests in flight of operators and the platform at a stop.
constexpr Duration kAdminStopTimeout = std::chrono::seconds(5);

// Time in which the tasks of connections end before the process does.
constexpr Duration kCloseTime = std::chrono::milliseconds(50);

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

// Owns the process's scheduler, I/O context and roles.
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
    , stopTimer(this->io)
  {
  }

  int Run()
  {
    auto key = LoadKey(this->settings);
    if (key.has_error()) {
      std::cerr << "lycheestandd: " << key.error() << "\n";
      return kExitSettingsError;
    }
    auto started = this->Start(key.value());
    if (started.has_error()) {
      std::cerr << "lycheestandd: " << started.error() << "\n";
      return kExitStartError;
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
      return net::FleetKey::ForTrustedNetwork();
    }
    return net::FleetKey::Load(aSettings.fleetKeyFile);
  }

  // CAF's default policy, work stealing, polls while threads are idle; with
  // "sharing" they block.
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
    auto buffers = net::SpawnBufferController(this->runtime,
                                              this->settings.maxBufferedBytes);
    if (this->settings.role != settings::Role::Router) {
      auto control = control::StartControl(
        this->runtime,
        pool,
        this->settings,
        aKey,
        this->node ? control::PlatformFormat{ platform::MakeListFormat(),
                                              platform::ReadColdRules }
                   : control::PlatformFormat{});
      if (control.has_error()) {
        return control.error();
      }
      this->control = std::move(control.value());
    }
    if (this->settings.role == settings::Role::Control) {
      net::StartDelayProbe(this->runtime);
    } else {
      std::optional<router::RouteProtocol> protocol;
      if (this->node) {
        protocol = platform::MakeRouteProtocol();
      }
      auto router = router::StartRouter(
        this->runtime, this->settings, aKey, buffers, protocol);
      if (router.has_error()) {
        return router.error();
      }
      this->router = std::move(router.value());
      this->router->OnDrainRequest([this] { this->StopAdmin(); });
    }
    auto admin = StartAdminServer(this->runtime,
                                  pool,
                                  this->settings,
                                  buffers,
                                  this->router.get(),
                                  this->control.get());
    if (admin.has_error()) {
      return admin.error();
    }
    this->admin = admin.value();
    return this->StartPlatformServers(pool, buffers);
  }

  // Starts the HTTP servers of the platform's interfaces.
  Result<void, std::string> StartPlatformServers(const caf::actor& aPool,
                                                 const caf::actor& aBuffers)
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
        net::SpawnHttpServer(this->runtime,
                             aPool,
                             address,
                             MakeServerOptions(this->settings, aBuffers),
                             handler);
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

  // Reloads the settings when their file changes: the platform may change it
  // without sending a signal.
  void WatchFile()
  {
    if (!this->node) {
      return;
    }
    std::error_code error;
    auto changeTime = std::filesystem::last_write_time(this->node->file, error);
    if (!error && changeTime != this->fileChangeTime) {
      if (this->fileChangeTime != std::filesystem::file_time_type{}) {
        this->Reload("file");
      }
      this->fileChangeTime = changeTime;
    }
    this->fileTimer.expires_after(kFileWatchInterval);
    this->fileTimer.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        this->WatchFile();
      }
    });
  }

  // Reloads the control addresses on the users' platform. All other settings,
  // and those of a process file, are read only at startup.
  void Reload(const char* aCause)
  {
    if (!this->node) {
      net::Log(net::LogLevel::Info,
               "reload ignored: settings are read only at startup",
               { { "event", "reload" }, { "cause", aCause } });
      return;
    }
    auto read = platform::LoadNodeSettings(this->node->file);
    if (read.has_error()) {
      net::Log(net::LogLevel::Error,
               "settings file rejected; the settings in use are kept",
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
    if (members.empty()) {
      return;
    }
    if (this->router) {
      this->router->SetControl(members);
    }
    if (this->control) {
      this->control->SetControl(members);
    }
  }

  // Waits for the requests in flight of operators and of the platform, then
  // ends the process. The servers stop in tasks of their own.
  void StopAdmin()
  {
    auto servers = this->platformServers;
    servers.push_back(this->admin);
    auto running = std::make_shared<std::atomic<std::size_t>>(servers.size());
    for (const auto& server : servers) {
      net::StopServer(
        this->runtime, server, kAdminStopTimeout, [this, running] {
          if (--*running == 0) {
            this->Stop();
          }
        });
    }
  }

  // Connections that are still open are closed, so that the log tells which
  // requests are cut.
  void Stop()
  {
    caf::anon_send(this->admin, net::CloseConnections{});
    for (const auto& server : this->platformServers) {
      caf::anon_send(server, net::CloseConnections{});
    }
    boost::asio::post(this->io, [this] {
      this->stopTimer.expires_after(kCloseTime);
      this->stopTimer.async_wait(
        [this](boost::system::error_code) { this->io.stop(); });
    });
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
  boost::asio::steady_timer stopTimer;
  std::filesystem::file_time_type fileChangeTime{};
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
    std::cerr << "lycheestandd: can't format: a router has no data folder; use "
                 "the settings of a control instance\n";
    return kExitSettingsError;
  }
  if (sodium_init() < 0) {
    std::cerr << "lycheestandd: libsodium can't be initialized: no source of "
                 "random numbers\n";
    return kExitStartError;
  }
  auto formatted = control::FormatDataFolder(aSettings);
  if (formatted.has_error()) {
    std::cerr << "lycheestandd: " << formatted.error() << "\n";
    return kExitStartError;
  }
  return 0;
}

namespace {

// The tasks hold sockets of the I/O context and handlers of each other, so the
// process exits without destroying them. All state that must persist is on disk
// or at control by then.
int
RunProcess(const settings::ProcessSettings& aSettings,
           std::optional<platform::NodeSettings> aNode)
{
  if (sodium_init() < 0) {
    std::cerr << "lycheestandd: libsodium can't be initialized: no source of "
                 "random numbers\n";
    return kExitStartError;
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
