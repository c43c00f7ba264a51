#include "connect_probes.h"

#include <utility>

namespace clementinelane {

void connect_probes::start(
    const endpoint_path &Path, duration Timeout,
    std::function<void(std::optional<connect_failure>)> OnDone) {
  Connector.connect(Path, Timeout,
                    Life.guard([Done = std::move(OnDone)](
                                   std::optional<connect_failure> Failure,
                                   // Closed when it goes out of scope.
                                   const boost::asio::ip::tcp::socket &,
                                   channel_kind) { Done(Failure); }));
}

} // namespace clementinelane
