#pragma once

#include "capacity/memory_account.h"
#include "endpoint_connector.h"
#include "lifetime.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace clementinelane {

/// Whether a tunnel may be opened.
enum class tunnel_admission : std::uint8_t {
  Allowed,
  NotAPeer,            ///< the sender isn't a known router
  UnknownEndpoint,     ///< the target isn't listed, or is leaving
  EndpointUnreachable, ///< this VM can't or must not connect to it either
  NoPath,              ///< this VM's links to such endpoints are lost
  Busy                 ///< too many tunnels, or this VM is stopping
};

/// Decides on tunnels and receives their outcome; implemented by the router.
class tunnel_policy {
public:
  virtual ~tunnel_policy() = default;
  /// `Sender`: IP address of the peer; `Target`: address of the endpoint.
  virtual tunnel_admission admitTunnel(std::string_view Sender,
                                       std::string_view Target,
                                       std::size_t OpenTunnels) = 0;
  virtual duration tunnelConnectTimeout(std::string_view Target) const = 0;
  /// The connection to the endpoint was established, or failed.
  virtual void onTunnelConnect(std::string_view Target,
                               std::optional<connect_failure> Failure,
                               duration Elapsed) = 0;
};

/// Connects other routers to endpoints that they can't reach themselves: HTTP
/// CONNECT (RFC 9110, 9.3.6), then bytes in both directions.
///
/// All decisions on a request stay with the router that accepted it, so that
/// retries, budgets and limits count it once. A tunnel ends as a whole: if one
/// side breaks, the other is reset, so that no truncated response looks
/// complete.
class tunnel_server {
public:
  /// Throws if the address can't be bound. What tunnels hold is charged to
  /// `Memory`, if given.
  tunnel_server(boost::asio::io_context &Context, const runtime_clock &Clock,
                std::string_view Address, endpoint_connector &Connector,
                tunnel_policy &Policy, memory_account_ptr Memory = nullptr);
  /// Closes all tunnels.
  ~tunnel_server();
  tunnel_server(const tunnel_server &) = delete;
  tunnel_server &operator=(const tunnel_server &) = delete;

  std::size_t openTunnels() const;

private:
  class tunnel;
  struct shared_state;
  void accept();
  void acceptLater();

  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer AcceptTimer;
  std::shared_ptr<shared_state> State;
  lifetime Life;
};

} // namespace clementinelane
