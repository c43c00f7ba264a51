#include "capacity/allocator.h"
#include "config.h"
#include "logs.h"
#include "names.h"
#include "platform_adapter.h"
#include "platform_settings.h"
#include "router.h"
#include "text_file.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "",
              "settings file of the platform; without it, the file that the "
              "platform names in the environment");
DEFINE_bool(check, false, "check the settings file and exit");
DEFINE_bool(customer_shares, true,
            "divide a service that is short of capacity among customers");
DEFINE_int32(metrics_port, 0, "port of the metrics page; 0: none");

namespace {

namespace cl = clementinelane;

constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;
constexpr std::string_view Program = "clementine_router";

std::string settingsPath() {
  if (!FLAGS_settings.empty())
    return FLAGS_settings;
  const char *Path = std::getenv(cl::platform_names::SettingsPath);
  return Path ? Path : "";
}

cl::parsed_platform_settings load(const std::string &Path) {
  std::string Text;
  if (!cl::readFile(Path, Text))
    return {{}, {{Path, 0, "", "cannot be read"}}};
  auto Parsed = cl::parsePlatformSettings(Path, Text);
  Parsed.Value.CustomerShares = FLAGS_customer_shares;
  return Parsed;
}

/// Reloads the settings file on SIGHUP and at a fixed interval, since it may
/// also change without a signal.
class settings_watcher {
public:
  settings_watcher(boost::asio::io_context &Context, std::string Path,
                   cl::router &Router, cl::platform_adapter &Platform)
      : Hangup(Context, SIGHUP), Timer(Context), Path(std::move(Path)),
        Router(Router), Platform(Platform) {
    cl::readFile(this->Path, Text);
  }
  void start() {
    awaitSignal();
    awaitTimer();
  }

private:
  void awaitSignal() {
    Hangup.async_wait([this](const boost::system::error_code &Error, int) {
      if (Error)
        return;
      reloadIfChanged();
      awaitSignal();
    });
  }
  void awaitTimer() {
    Timer.expires_after(cl::config::SettingsPollInterval);
    Timer.async_wait([this](const boost::system::error_code &Error) {
      if (Error)
        return;
      reloadIfChanged();
      awaitTimer();
    });
  }
  void reloadIfChanged() {
    std::string NewText;
    if (!cl::readFile(Path, NewText) || NewText == Text)
      return;
    Text = NewText;
    auto Parsed = cl::parsePlatformSettings(Path, Text);
    Parsed.Value.CustomerShares = FLAGS_customer_shares;
    for (const auto &Error : Parsed.Errors)
      cl::logs::warning("settings_wrong", {{"error", cl::formatError(Error)}});
    if (!Parsed.Errors.empty())
      return; // keep the previous settings
    cl::logs::info("settings_reloaded", {{"file", Path}});
    Router.apply(Parsed.Value);
    Platform.setStoreAddress(Parsed.Value.PlatformAddress);
    Platform.setKeyLease(cl::keyLease(Parsed.Value));
  }

  boost::asio::signal_set Hangup;
  boost::asio::steady_timer Timer;
  std::string Path;
  std::string Text;
  cl::router &Router;
  cl::platform_adapter &Platform;
};

void run(const cl::router_settings &Settings, const std::string &Path) {
  constexpr int OneThread = 1;
  boost::asio::io_context Context(OneThread);
  const cl::system_runtime_clock Clock;
  cl::read_relay Relay(Settings.PeerAddress, Settings.Cores);
  cl::platform_adapter Platform(Context, Clock, Settings.PlatformAddress,
                                Relay);
  Platform.setKeyLease(cl::keyLease(Settings));
  const std::string Metrics =
      FLAGS_metrics_port > 0
          ? Settings.Address + ":" + std::to_string(FLAGS_metrics_port)
          : std::string{};
  cl::tcp_connector Connector(Context);
  cl::router Router(Context, Clock, Settings, Platform, Relay, Connector,
                    Metrics);
  boost::asio::signal_set Stop(Context, SIGTERM, SIGINT);
  Stop.async_wait([&Router](const boost::system::error_code &Error, int) {
    if (!Error)
      Router.stop();
  });
  settings_watcher Watch(Context, Path, Router, Platform);
  Watch.start();
  Router.start();
  cl::logs::info("started", {{"data_centre", Settings.DataCentre},
                             {"callers", Settings.CallerAddress},
                             {"store", Settings.PlatformAddress}});
  Context.run();
}

} // namespace

int main(int ArgCount, char **Args) {
  gflags::SetUsageMessage(
      "routes callers' requests to model engines and plain services on the "
      "platform\n\n  clementine_router [--settings FILE] [--check] "
      "[--metrics_port PORT] [--nocustomer_shares]");
  gflags::SetVersionString("0.2");
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  const std::string Path = settingsPath();
  const auto Parsed = load(Path);
  for (const auto &Error : Parsed.Errors)
    std::cerr << cl::formatError(Error) << '\n';
  if (!Parsed.Errors.empty())
    return ExitBadSettings;
  if (FLAGS_check) {
    std::cout << Path << ": ok\n";
    return 0;
  }
  cl::returnFreedMemory();
  // A write to a disconnected caller must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  cl::logs::init(Program, Parsed.Value.VmName, "json",
                 cl::logs::sink::StandardOutput);
  try {
    run(Parsed.Value, Path);
  } catch (const std::exception &Error) {
    cl::logs::warning("failed", {{"what", Error.what()}});
    return ExitFailed;
  }
  return 0;
}
