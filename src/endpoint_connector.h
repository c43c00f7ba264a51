#pragma once

#include "clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace clementinelane {

/// Why a connection could not be established.
enum class connect_failure : std::uint8_t {
  Refused,        ///< the endpoint or the network rejected it
  Unanswered,     ///< no response within the timeout
  PeerUnavailable ///< the peer didn't respond, or opens no tunnel now
};

/// What the end of an endpoint's connection looks like on a socket.
enum class channel_kind : std::uint8_t {
  Direct,       ///< the socket is the connection
  FramedTunnel, ///< frames of transport/tunnel_frames.h come from the peer
  BareTunnel    ///< the peer's end can't be told from the endpoint's
};

/// How to reach an endpoint. Addresses are "IP:PORT".
struct endpoint_path {
  std::string Endpoint;
  std::string Peer{}; ///< router that tunnels the connection; empty: none
};

/// A connection that is being established.
class connect_operation {
public:
  virtual ~connect_operation() = default;
  /// Abandons it; its handler is not called.
  virtual void cancel() = 0;
};

/// Opens connections to endpoints.
class endpoint_connector {
public:
  /// `Socket` is open unless there is a failure.
  using handler = std::function<void(std::optional<connect_failure> Failure,
                                     boost::asio::ip::tcp::socket Socket,
                                     channel_kind Channel)>;

  virtual ~endpoint_connector() = default;
  /// `Handler` is called once, never within this call, unless the operation is
  /// cancelled. `Timeout` is that of the connection to the endpoint.
  virtual std::shared_ptr<connect_operation>
  connect(const endpoint_path &Path, duration Timeout, handler Handler) = 0;
};

/// Opens TCP connections, directly or through a tunnel_server.
class tcp_connector final : public endpoint_connector {
public:
  explicit tcp_connector(boost::asio::io_context &Context) : Context(Context) {}

  std::shared_ptr<connect_operation> connect(const endpoint_path &Path,
                                             duration Timeout,
                                             handler Handler) override;

private:
  boost::asio::io_context &Context;
};

} // namespace clementinelane
