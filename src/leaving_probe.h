#pragma once

#include "config_source.h"
#include "endpoint_client.h"
#include "http_fetch.h"

#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace clementinelane {

/// Probes endpoints that announced they are leaving, until they withdraw it.
///
/// A leaving endpoint gets no work, so none of its answers could ever show that
/// it stays after all; it would idle until this process is replaced. Its health
/// route is polled instead. An endpoint that was removed from the configuration
/// is cleared, so that it starts without a record when it returns.
class leaving_probe : public std::enable_shared_from_this<leaving_probe> {
public:
  leaving_probe(http_client_thread &Http, timer_service &Timers,
                const config_source &Config, leaving_callback Apply)
      : Http(Http), Timers(Timers), Config(Config), Apply(std::move(Apply)) {}

  /// Handles the endpoint's own announcement that it is leaving or staying.
  void setLeaving(const std::string &Endpoint, bool IsLeaving);

private:
  void schedule(const std::string &Endpoint);
  void probe(const std::string &Endpoint);
  void onProbed(const std::string &Endpoint,
                const std::optional<fetch_answer> &Answer);
  void clearLeaving(const std::string &Endpoint);

  http_client_thread &Http;
  timer_service &Timers;
  const config_source &Config;
  leaving_callback Apply;
  std::mutex Mutex;
  std::set<std::string> Leaving;
};

} // namespace clementinelane
