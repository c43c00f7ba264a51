#pragma once

#include "clock.h"
#include "endpoint_connector.h"
#include "lifetime.h"

#include <functional>
#include <memory>
#include <string>

namespace clementinelane {

/// Probes endpoints by opening a connection and closing it at once. Sends no
/// data, so no request and no slot of the endpoint is at risk.
class connect_probes {
public:
  explicit connect_probes(endpoint_connector &Connector)
      : Connector(Connector) {}

  /// Calls `OnDone` once, with the failure if no connection was established.
  void start(const endpoint_path &Path, duration Timeout,
             std::function<void(std::optional<connect_failure>)> OnDone);

private:
  endpoint_connector &Connector;
  /// Expires with this object; pending probes then skip their callback.
  lifetime Life;
};

} // namespace clementinelane
