#include "daemon.h"

#include "capacity/allocator.h"
#include "logs.h"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <pplx/threadpool.h>
#include <pthread.h>

DEFINE_string(config, "", "settings file (TOML)");
DEFINE_bool(check, false, "check the settings file and exit");

namespace clementinelane {

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;

/// Blocks SIGTERM and SIGINT in all threads; only wait() and
/// isStopRequestedAgain() receive them.
class stop_signal {
public:
  stop_signal() {
    sigemptyset(&Signals);
    sigaddset(&Signals, SIGTERM);
    sigaddset(&Signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
    // Writing to a connection that the caller closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
  }
  void wait() const {
    int Signal = 0;
    sigwait(&Signals, &Signal);
    logs::info("stopping", {{"signal", std::to_string(Signal)}});
  }

private:
  sigset_t Signals{};
};

} // namespace

bool isStopRequestedAgain() {
  sigset_t Signals{};
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  constexpr timespec NoWait{};
  return sigtimedwait(&Signals, nullptr, &NoWait) > 0;
}

int runDaemon(int ArgCount, char **Args, const daemon_program &Program) {
  gflags::SetUsageMessage(std::string(Program.Name) +
                          " --config FILE [--check]");
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  if (FLAGS_config.empty()) {
    std::cerr << Program.Name << ": --config FILE is required\n";
    return ExitBadSettings;
  }
  const parsed_settings Parsed = loadSettings(FLAGS_config);
  for (const file_error &Error : Parsed.Errors)
    std::cerr << formatError(Error) << '\n';
  if (!Parsed.Errors.empty())
    return ExitBadSettings;
  if (FLAGS_check) {
    std::cout << FLAGS_config << ": ok\n";
    return 0;
  }
  returnFreedMemory();
  const settings &Settings = Parsed.Value;
  logs::init(Program.Name, Settings.VmName, Settings.LogFormat);
  const stop_signal Stop;
  crossplat::threadpool::initialize_with_threads(Settings.Threads);
  try {
    Program.Run(Settings, [&Stop] { Stop.wait(); });
  } catch (const std::exception &Error) {
    logs::warning("failed", {{"what", Error.what()}});
    return ExitFailed;
  }
  logs::info("stopped", {});
  return 0;
}

} // namespace clementinelane
