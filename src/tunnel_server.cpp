#include "tunnel_server.h"

#include "capacity/config.h"
#include "config.h"
#include "http_framing.h"
#include "sockets.h"
#include "transport/delivery_wait.h"
#include "transport/tunnel_frames.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <utility>

namespace clementinelane {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

constexpr std::size_t MaxTunnelHeadBytes = 1024;
/// Time for a peer to send its request.
constexpr auto TunnelHeadTimeout = std::chrono::seconds(1);

struct refusal_row {
  tunnel_admission Admission;
  unsigned Status;
};
constexpr std::array<refusal_row, 5> RefusalRows{{
    {tunnel_admission::NotAPeer, 403},
    {tunnel_admission::UnknownEndpoint, 404},
    {tunnel_admission::EndpointUnreachable, 502},
    {tunnel_admission::NoPath, 503},
    {tunnel_admission::Busy, 503},
}};

unsigned statusOf(tunnel_admission Admission) {
  for (const refusal_row &Row : RefusalRows)
    if (Row.Admission == Admission)
      return Row.Status;
  return 200;
}

unsigned statusOf(std::optional<connect_failure> Failure) {
  if (!Failure)
    return 200;
  return *Failure == connect_failure::Refused ? 502 : 504;
}

/// Closes without the orderly end of the stream, so that the other side sees an
/// error.
void resetConnection(tcp::socket &Socket) {
  error_code Ignored; // it may be closed already
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

} // namespace

struct tunnel_server::shared_state {
  const runtime_clock &Clock;
  endpoint_connector &Connector;
  tunnel_policy *Policy; ///< null once the server is destroyed
  memory_account_ptr Memory;
  std::set<tunnel *> Tunnels;
  std::list<tunnel *> Pending; ///< without a request yet, the oldest first

  void limitPending();
};

class tunnel_server::tunnel final
    : public std::enable_shared_from_this<tunnel> {
public:
  tunnel(tcp::socket Peer, std::shared_ptr<shared_state> State)
      : Peer(std::move(Peer)), Endpoint(this->Peer.get_executor()),
        Timer(this->Peer.get_executor()), Delivery(this->Peer.get_executor()),
        State(std::move(State)),
        Charge(this->State->Memory, memory_holder::Tunnel) {
    this->State->Tunnels.insert(this);
    this->State->Pending.push_back(this);
  }
  ~tunnel() {
    State->Tunnels.erase(this);
    State->Pending.remove(this);
  }
  tunnel(const tunnel &) = delete;
  tunnel &operator=(const tunnel &) = delete;

  void start() {
    error_code Ignored; // the peer may have closed already
    Sender = Peer.remote_endpoint(Ignored).address().to_string();
    setSocketOptions(Peer);
    Timer.expires_after(TunnelHeadTimeout);
    Timer.async_wait([Weak = weak_from_this()](const error_code &Error) {
      const auto Self = Weak.lock();
      if (Self && !Error)
        Self->reset();
    });
    readHead();
  }

  void reset() {
    const auto Keep = shared_from_this();
    IsClosed = true;
    State->Pending.remove(this);
    Timer.cancel();
    Delivery.cancel();
    if (const auto Operation = std::move(Connecting))
      Operation->cancel();
    resetConnection(Peer);
    resetConnection(Endpoint);
  }

private:
  void readHead() {
    Peer.async_wait(tcp::socket::wait_read,
                    [Self = shared_from_this()](const error_code &Error) {
                      Self->onHeadReadable(Error);
                    });
  }

  void onHeadReadable(const error_code &WaitError) {
    if (IsClosed)
      return;
    error_code Error = WaitError ? WaitError : readAvailable(Peer, Received);
    if (Error == asio::error::would_block) {
      readHead();
      return;
    }
    if (Error) {
      reset();
      return;
    }
    Received.erase(0, Reader.feed(Received, Error));
    if (Error) {
      Timer.cancel();
      refuse(400);
      return;
    }
    if (Reader.isHeadDone())
      onRequest();
    else
      readHead();
  }

  void onRequest() {
    State->Pending.remove(this);
    Timer.cancel();
    if (!State->Policy) {
      reset();
      return;
    }
    Target = Reader.head().Target;
    IsFramed = Reader.head().value(TunnelFramesField) == TunnelFramesVersion;
    if (Reader.head().Method != "CONNECT") {
      refuse(405);
      return;
    }
    // What follows the head is for the endpoint, so there is no room for a
    // body.
    if (Reader.framing() != message_framing{}) {
      refuse(400);
      return;
    }
    const tunnel_admission Admission =
        State->Policy->admitTunnel(Sender, Target, State->Tunnels.size());
    if (Admission != tunnel_admission::Allowed) {
      refuse(statusOf(Admission));
      return;
    }
    if (!Charge.tryResize(config::TunnelBytes)) {
      refuse(statusOf(tunnel_admission::Busy));
      return;
    }
    Buffers = std::make_unique<buffers>();
    StartedAt = State->Clock.bootNow();
    Connecting = State->Connector.connect(
        {Target}, State->Policy->tunnelConnectTimeout(Target),
        [Self = shared_from_this()](std::optional<connect_failure> Failure,
                                    tcp::socket Connected, channel_kind) {
          Self->onConnected(Failure, std::move(Connected));
        });
  }

  void onConnected(std::optional<connect_failure> Failure,
                   tcp::socket Connected) {
    Connecting.reset();
    if (IsClosed || !State->Policy)
      return;
    State->Policy->onTunnelConnect(Target, Failure,
                                   State->Clock.bootNow() - StartedAt);
    if (Failure) {
      refuse(statusOf(Failure));
      return;
    }
    Endpoint = std::move(Connected);
    sendHead(statusOf(Failure), [Self = shared_from_this()] {
      Self->relayUpwards(Self->Received.size());
      Self->relayDownwards();
    });
  }

  void refuse(unsigned Status) {
    sendHead(Status, [Self = shared_from_this()] {
      error_code Ignored; // the peer may have closed already
      Self->IsClosed = true;
      Self->Peer.close(Ignored);
    });
  }

  template <typename Function> void sendHead(unsigned Status, Function Then) {
    http_head Head;
    Head.Status = Status;
    Head.Reason = reasonPhrase(Status);
    if (Status == 200 && IsFramed)
      Head.Fields = {
          {std::string(TunnelFramesField), std::string(TunnelFramesVersion)}};
    if (Status != 200)
      Head.Fields = {{"Content-Length", "0"}, {"Connection", "close"}};
    Response = responseHeadText(Head);
    asio::async_write(Peer, asio::buffer(Response),
                      [Self = shared_from_this(), Then = std::move(Then)](
                          const error_code &Error, std::size_t) {
                        if (Error)
                          Self->reset();
                        else if (!Self->IsClosed)
                          Then();
                      });
  }

  /// Sends the first `Early` bytes that came with the peer's request, then
  /// relays what follows. A peer that closes has abandoned its attempt.
  void relayUpwards(std::size_t Early) {
    if (Early > 0) {
      writeUpwards(asio::buffer(Received));
      return;
    }
    Peer.async_read_some(asio::buffer(Buffers->Upwards),
                         [Self = shared_from_this()](const error_code &Error,
                                                     std::size_t Count) {
                           if (Error) {
                             Self->reset();
                             return;
                           }
                           Self->writeUpwards(asio::buffer(
                               Self->Buffers->Upwards.data(), Count));
                         });
  }

  void writeUpwards(asio::const_buffer Bytes) {
    IsWritingUpwards = true;
    asio::async_write(
        Endpoint, Bytes,
        [Self = shared_from_this()](const error_code &Error, std::size_t) {
          Self->IsWritingUpwards = false;
          Self->IsEndpointLost = Error.failed();
          if (!Error && !Self->IsClosed)
            Self->relayUpwards(0);
        });
  }

  void relayDownwards() {
    Endpoint.async_read_some(
        asio::buffer(Buffers->Downwards),
        [Self = shared_from_this()](const error_code &Error,
                                    std::size_t Count) {
          if (Self->IsClosed)
            return;
          if (Error) {
            Self->onEndpointClosed(Error);
            return;
          }
          Self->FrameHeader = Self->IsFramed
                                  ? tunnelFrameHeader(tunnel_frame::Data, Count)
                                  : std::string();
          const std::array<asio::const_buffer, 2> Buffers{
              asio::buffer(Self->FrameHeader),
              asio::buffer(Self->Buffers->Downwards.data(), Count)};
          asio::async_write(Self->Peer, Buffers,
                            [Self](const error_code &WriteError, std::size_t) {
                              if (WriteError)
                                Self->reset();
                              else
                                Self->relayDownwards();
                            });
        });
  }

  void onEndpointClosed(const error_code &Error) {
    if (Error != asio::error::eof) {
      endDownwards(false);
      return;
    }
    const auto Self = shared_from_this();
    Delivery.start([Self] { return Self->requestDelivery(); },
                   [Self](delivery_state Delivered) {
                     Self->endDownwards(Delivered != delivery_state::Lost);
                   });
  }

  /// Of what the peer has sent so far.
  delivery_state requestDelivery() {
    if (IsEndpointLost)
      return delivery_state::Lost;
    const delivery_state Written = deliveryState(Endpoint);
    error_code Ignored; // a closed peer has nothing to deliver
    const bool IsRelaying = IsWritingUpwards || Peer.available(Ignored) > 0;
    return Written == delivery_state::Delivered && IsRelaying
               ? delivery_state::Pending
               : Written;
  }

  void endDownwards(bool IsOrderly) {
    if (!IsFramed) {
      if (IsOrderly)
        endOrderly();
      else
        reset();
      return;
    }
    FrameHeader =
        tunnelFrameHeader(IsOrderly ? tunnel_frame::End : tunnel_frame::Broken);
    asio::async_write(
        Peer, asio::buffer(FrameHeader),
        [Self = shared_from_this()](const error_code &WriteError, std::size_t) {
          if (WriteError)
            Self->reset();
          else if (!Self->IsClosed)
            Self->endOrderly();
        });
  }

  /// The endpoint closed in order: the peer reads to the end and then closes.
  void endOrderly() {
    error_code Ignored; // the peer may have closed already
    Peer.shutdown(tcp::socket::shutdown_send, Ignored);
    Timer.expires_after(config::CloseLingerTimeout);
    Timer.async_wait([Weak = weak_from_this()](const error_code &Error) {
      const auto Self = Weak.lock();
      if (Self && !Error)
        Self->reset();
    });
  }

  tcp::socket Peer;
  tcp::socket Endpoint;
  asio::steady_timer Timer;
  delivery_wait Delivery;
  std::shared_ptr<shared_state> State;
  std::shared_ptr<connect_operation> Connecting;
  http_request_reader Reader{MaxTunnelHeadBytes, 0};
  std::string Sender;
  std::string Target;
  std::string Received;
  std::string Response;
  mono_time StartedAt{};
  bool IsFramed = false; ///< as both VMs agreed
  std::string FrameHeader;
  struct buffers {
    std::array<char, config::SocketReadBytes> Upwards;
    std::array<char, config::SocketReadBytes> Downwards;
  };
  std::unique_ptr<buffers> Buffers; ///< once the tunnel is allowed
  memory_charge Charge;
  bool IsWritingUpwards = false;
  bool IsEndpointLost = false; ///< as a write found
  bool IsClosed = false;
};

// Load: connections to the peers' port that send no request. Harm prevented:
// they take the descriptors that callers and peers need.
void tunnel_server::shared_state::limitPending() {
  if (Pending.size() > config::MaxPendingTunnels)
    Pending.front()->reset();
}

tunnel_server::tunnel_server(asio::io_context &Context,
                             const runtime_clock &Clock,
                             std::string_view Address,
                             endpoint_connector &Connector,
                             tunnel_policy &Policy, memory_account_ptr Memory)
    : Acceptor(Context), AcceptTimer(Context),
      State(std::make_shared<shared_state>(
          shared_state{Clock, Connector, &Policy, std::move(Memory), {}, {}})) {
  const auto Parsed = parseAddress(Address);
  if (!Parsed)
    throw std::invalid_argument("invalid listen address: " +
                                std::string(Address));
  Acceptor.open(Parsed->protocol());
  Acceptor.set_option(asio::socket_base::reuse_address(true));
  error_code Ignored; // the system's default is larger
  Acceptor.set_option(
      asio::socket_base::receive_buffer_size(config::ReceiveBufferBytes),
      Ignored);
  Acceptor.bind(*Parsed);
  Acceptor.listen(config::ListenBacklog);
  accept();
}

tunnel_server::~tunnel_server() {
  State->Policy = nullptr;
  const auto Tunnels = State->Tunnels;
  for (tunnel *Tunnel : Tunnels)
    Tunnel->reset();
}

std::size_t tunnel_server::openTunnels() const { return State->Tunnels.size(); }

void tunnel_server::accept() {
  Acceptor.async_accept(
      Life.guard([this](const error_code &Error, tcp::socket Socket) {
        if (Error == asio::error::operation_aborted || !Acceptor.is_open())
          return;
        if (Error) {
          acceptLater();
          return;
        }
        std::make_shared<tunnel>(std::move(Socket), State)->start();
        State->limitPending();
        accept();
      }));
}

// Failure: no descriptor is free, and the connection that waits fails again at
// once.
void tunnel_server::acceptLater() {
  AcceptTimer.expires_after(config::AcceptRetryDelay);
  AcceptTimer.async_wait(Life.guard([this](const error_code &Error) {
    if (!Error)
      accept();
  }));
}

} // namespace clementinelane
