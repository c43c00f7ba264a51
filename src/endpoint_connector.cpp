#include "endpoint_connector.h"

#include "config.h"
#include "http_framing.h"
#include "sockets.h"
#include "transport/tunnel_frames.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace clementinelane {

namespace {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

/// Bytes of the head of a tunnel server's response.
constexpr std::size_t MaxTunnelHeadBytes = 1024;

/// Status codes of a tunnel server, as in HTTP.
constexpr unsigned TunnelOpened = 200;
constexpr unsigned EndpointRefused = 502;
constexpr unsigned EndpointUnanswered = 504;

std::optional<connect_failure> failureOf(unsigned Status) {
  switch (Status) {
  case TunnelOpened:
    return std::nullopt;
  case EndpointRefused:
    return connect_failure::Refused;
  case EndpointUnanswered:
    return connect_failure::Unanswered;
  default:
    return connect_failure::PeerUnavailable;
  }
}

class tcp_operation final : public connect_operation,
                            public std::enable_shared_from_this<tcp_operation> {
public:
  tcp_operation(asio::io_context &Context, endpoint_path Path, duration Timeout,
                endpoint_connector::handler Handler)
      : Path(std::move(Path)), Timeout(Timeout), Socket(Context),
        Timer(Context), Handler(std::move(Handler)) {}

  void start() {
    const bool IsDirect = Path.Peer.empty();
    const auto Parsed = parseAddress(IsDirect ? Path.Endpoint : Path.Peer);
    if (!Parsed) {
      asio::post(Socket.get_executor(), [Self = shared_from_this()] {
        Self->finish(connect_failure::Refused);
      });
      return;
    }
    armTimer(IsDirect ? Timeout : config::EndpointConnectTimeout,
             IsDirect ? connect_failure::Unanswered
                      : connect_failure::PeerUnavailable);
    Socket.async_connect(*Parsed,
                         [Self = shared_from_this()](const error_code &Error) {
                           Self->onConnected(Error);
                         });
  }

  void cancel() override {
    Handler = {};
    close();
  }

private:
  void armTimer(duration After, connect_failure Failure) {
    Timer.expires_after(After);
    Timer.async_wait(
        [Weak = weak_from_this(), Failure](const error_code &Error) {
          const auto Self = Weak.lock();
          if (Self && !Error)
            Self->finish(Failure);
        });
  }

  void onConnected(const error_code &Error) {
    if (!Handler)
      return;
    if (Path.Peer.empty()) {
      finish(Error ? std::optional(connect_failure::Refused) : std::nullopt);
      return;
    }
    if (Error) {
      finish(connect_failure::PeerUnavailable);
      return;
    }
    http_head Head;
    Head.Method = "CONNECT";
    Head.Target = Path.Endpoint;
    Head.Fields = {
        {"Host", Path.Endpoint},
        {std::string(TunnelFramesField), std::string(TunnelFramesVersion)}};
    Request = requestHeadText(Head);
    Reader.skipBody();
    // The peer's response takes its own connect and one round trip more.
    armTimer(Timeout + config::EndpointConnectTimeout,
             connect_failure::PeerUnavailable);
    asio::async_write(
        Socket, asio::buffer(Request),
        [Self = shared_from_this()](const error_code &, std::size_t) {
          // Write errors are detected by the reading side.
        });
    read();
  }

  void read() {
    Socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [Self = shared_from_this()](const error_code &Error) {
                        Self->onReadable(Error);
                      });
  }

  void onReadable(const error_code &WaitError) {
    if (!Handler)
      return;
    error_code Error = WaitError ? WaitError : readAvailable(Socket, Received);
    if (Error == asio::error::would_block) {
      read();
      return;
    }
    if (!Error)
      Received.erase(0, Reader.feed(Received, Error));
    if (!Error && !Reader.isHeadDone()) {
      read();
      return;
    }
    if (!Error)
      Channel = Reader.head().value(TunnelFramesField) == TunnelFramesVersion
                    ? channel_kind::FramedTunnel
                    : channel_kind::BareTunnel;
    // An endpoint sends nothing before its request, so more bytes than the head
    // are a protocol error.
    finish(Error || !Received.empty() ? connect_failure::PeerUnavailable
                                      : failureOf(Reader.head().Status));
  }

  void close() {
    Timer.cancel();
    error_code Ignored; // it may be closed already
    Socket.close(Ignored);
  }

  void finish(std::optional<connect_failure> Failure) {
    if (!Handler)
      return;
    const auto Handle = std::exchange(Handler, {});
    if (Failure) {
      close();
    } else {
      Timer.cancel();
      setSocketOptions(Socket);
    }
    Handle(Failure, std::move(Socket), Channel);
  }

  endpoint_path Path;
  duration Timeout;
  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  endpoint_connector::handler Handler;
  channel_kind Channel = channel_kind::Direct;
  std::string Request;
  std::string Received;
  http_response_reader Reader{MaxTunnelHeadBytes, 0};
};

} // namespace

std::shared_ptr<connect_operation>
tcp_connector::connect(const endpoint_path &Path, duration Timeout,
                       handler Handler) {
  const auto Operation = std::make_shared<tcp_operation>(Context, Path, Timeout,
                                                         std::move(Handler));
  Operation->start();
  return Operation;
}

} // namespace clementinelane
