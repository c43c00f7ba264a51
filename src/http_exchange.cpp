#include "http_exchange.h"

#include "config.h"
#include "sockets.h"
#include "transport/delivery_wait.h"
#include "transport/tunnel_frames.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace clementinelane {

namespace {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

exchange_failure exchangeFailureOf(connect_failure Failure) {
  switch (Failure) {
  case connect_failure::Refused:
    return exchange_failure::NotConnected;
  case connect_failure::Unanswered:
    return exchange_failure::Unanswered;
  case connect_failure::PeerUnavailable:
    break;
  }
  return exchange_failure::PeerUnavailable;
}

class tcp_exchange final : public http_exchange,
                           public std::enable_shared_from_this<tcp_exchange> {
public:
  tcp_exchange(exchange_request Request, http_exchange_events Events)
      : Request(std::move(Request)), Events(std::move(Events)) {
    startResponse();
  }

  void start(endpoint_connector &Connector) {
    Connecting = Connector.connect(
        Request.Path, Request.ConnectTimeout,
        [Self = shared_from_this()](std::optional<connect_failure> Failure,
                                    asio::ip::tcp::socket Connected,
                                    channel_kind Channel) {
          Self->onConnected(Failure, std::move(Connected), Channel);
        });
  }

  void cancel() override {
    IsClosed = true;
    if (const auto Operation = std::move(Connecting))
      Operation->cancel();
    if (Delivery)
      Delivery->cancel();
    if (Socket) {
      error_code Ignored; // the peer may have closed already
      Socket->close(Ignored);
    }
    Events = {};
  }

  void pauseReading() override { IsPaused = true; }

  void resumeReading() override {
    IsPaused = false;
    if (Socket && !IsClosed && !IsReading)
      read();
  }

private:
  void startResponse() {
    Reader = std::make_unique<http_response_reader>(
        config::MaxEndpointHeaderBytes, std::nullopt);
    if (Request.Method == "HEAD")
      Reader->skipBody();
    IsHeadReported = false;
    IsSkipped = false;
  }

  void onConnected(std::optional<connect_failure> Failure,
                   asio::ip::tcp::socket Connected, channel_kind Kind) {
    Connecting.reset();
    if (IsClosed)
      return;
    if (Failure) {
      fail(exchangeFailureOf(*Failure));
      return;
    }
    Channel = Kind;
    Socket.emplace(std::move(Connected));
    Delivery.emplace(Socket->get_executor());
    // Reads and writes at the same time, since an endpoint may respond before
    // it has read a long body.
    const auto &Body = Request.Body;
    const std::array<asio::const_buffer, 2> Message{
        asio::buffer(Request.Bytes),
        Body ? asio::buffer(*Body) : asio::const_buffer{}};
    asio::async_write(
        *Socket, Message,
        [Self = shared_from_this()](const error_code &Error, std::size_t) {
          Self->onWritten(Error);
        });
    read();
    invoke(Events.OnSent);
  }

  void onWritten(const error_code &Error) {
    Request.Body.reset();
    IsWritten = true;
    IsLost = Error.failed();
  }

  void read() {
    IsReading = !IsPaused;
    if (IsPaused)
      return;
    Socket->async_wait(asio::ip::tcp::socket::wait_read,
                       [Self = shared_from_this()](const error_code &Error) {
                         Self->onReadable(Error);
                       });
  }

  void onReadable(const error_code &WaitError) {
    if (IsClosed)
      return;
    const std::size_t Before = Pending.size();
    const error_code Error = WaitError ? WaitError : receive();
    Framing.addReceived(Pending.size() - Before);
    if (Error == asio::error::would_block) {
      read();
      return;
    }
    if (Error) {
      onClosed(Error);
      return;
    }
    if (IsMalformed) {
      fail(exchange_failure::TunnelBroken);
      return;
    }
    parse();
    if (!IsClosed && Frames.end()) {
      onClosed(*Frames.end() == tunnel_frame::End
                   ? error_code(asio::error::eof)
                   : error_code(asio::error::connection_reset));
      return;
    }
    if (Framing.isExceeded(Pending.size()))
      fail(exchange_failure::BrokenAnswer);
    if (!IsClosed)
      read();
  }

  /// Receives bytes of the endpoint.
  error_code receive() {
    if (Channel != channel_kind::FramedTunnel)
      return readAvailable(*Socket, Pending);
    std::string Bytes;
    const error_code Error = readAvailable(*Socket, Bytes);
    IsMalformed = !Error && !Frames.feed(Bytes, Pending);
    return Error;
  }

  // Failure: the VM at the other end of a tunnel is killed, and its system
  // closes its connections in order. Without the end that the endpoint's close
  // has in the tunnel, the response isn't taken for whole, and the endpoint
  // isn't blamed.
  bool isTunnelBroken() const {
    return Channel == channel_kind::BareTunnel ||
           (Channel == channel_kind::FramedTunnel && !Frames.end());
  }

  // A response without a length ends with an orderly close of the connection; a
  // reset truncates it.
  void onClosed(const error_code &Error) {
    if (isTunnelBroken()) {
      fail(exchange_failure::TunnelBroken);
      return;
    }
    if (Error == asio::error::eof && Reader->isHeadDone() && !IsSkipped) {
      error_code Problem;
      Reader->finish(Problem);
      if (!Problem && Reader->isDone()) {
        reportBody();
        if (!IsClosed)
          endOnceDelivered();
        return;
      }
    }
    fail(Reader->hasStarted() ? exchange_failure::BrokenAnswer
                              : exchange_failure::NoAnswer);
  }

  // A tunnel takes bytes that the endpoint may never get, so what isn't
  // delivered at the endpoint's end counts as lost there.
  void endOnceDelivered() {
    if (Channel != channel_kind::Direct) {
      onDelivery(requestDelivery() == delivery_state::Delivered);
      return;
    }
    const auto Self = shared_from_this();
    Delivery->start([Self] { return Self->requestDelivery(); },
                    [Self](delivery_state State) {
                      Self->onDelivery(State != delivery_state::Lost);
                    });
  }

  delivery_state requestDelivery() {
    if (IsLost)
      return delivery_state::Lost;
    const delivery_state State = deliveryState(*Socket);
    return State == delivery_state::Delivered && !IsWritten
               ? delivery_state::Pending
               : State;
  }

  void onDelivery(bool IsWhole) {
    if (IsWhole)
      end();
    else
      fail(exchange_failure::BrokenAnswer);
  }

  void parse() {
    while (!IsClosed) {
      error_code Error;
      const std::size_t Consumed = Reader->feed(Pending, Error);
      Pending.erase(0, Consumed);
      if (Error) {
        fail(exchange_failure::BrokenAnswer);
        return;
      }
      if (Reader->isHeadDone())
        reportHead();
      if (IsClosed)
        return;
      reportBody();
      if (IsClosed || !Reader->isDone())
        return;
      if (!IsSkipped) {
        end();
        return;
      }
      startResponse();
      if (Pending.empty())
        return;
    }
  }

  void reportHead() {
    if (IsHeadReported)
      return;
    IsHeadReported = true;
    const http_head &Head = Reader->head();
    const bool IsInterim = Head.Status >= 100 && Head.Status < 200;
    IsSkipped =
        IsInterim || (Events.MatchesRequest && !Events.MatchesRequest(Head));
    if (!IsSkipped)
      invoke(Events.OnHead, Head);
  }

  void reportBody() {
    std::string Bytes = Reader->takeBody();
    if (IsSkipped) {
      Framing.addSkippedBody(Bytes.size());
      return;
    }
    Framing.addBody(Bytes.size());
    if (!Bytes.empty())
      invoke(Events.OnBody, std::move(Bytes));
  }

  /// Calls a copy of the handler, which may cancel this exchange.
  template <typename Handler, typename... Args>
  void invoke(const Handler &Handle, Args &&...Arguments) {
    if (const auto Copy = Handle)
      Copy(std::forward<Args>(Arguments)...);
  }

  void end() {
    const auto Handle = std::move(Events.OnEnd);
    cancel();
    if (Handle)
      Handle();
  }

  void fail(exchange_failure Failure) {
    if (IsClosed)
      return;
    const auto Handle = std::move(Events.OnFailure);
    cancel();
    if (Handle)
      Handle(Failure);
  }

  std::shared_ptr<connect_operation> Connecting;
  std::optional<asio::ip::tcp::socket> Socket;
  std::optional<delivery_wait> Delivery;
  exchange_request Request;
  http_exchange_events Events;
  std::unique_ptr<http_response_reader> Reader;
  std::string Pending;
  framing_limit Framing;
  channel_kind Channel = channel_kind::Direct;
  tunnel_frame_reader Frames;
  bool IsMalformed = false; ///< the frames of the tunnel
  bool IsWritten = false;   ///< the write of the request has ended
  bool IsLost = false;      ///< as the write found
  bool IsHeadReported = false;
  bool IsSkipped = false; ///< current response is interim or of another request
  bool IsClosed = false;
  bool IsPaused = false;
  bool IsReading = false; ///< waits for bytes or processes them
};

} // namespace

std::shared_ptr<http_exchange> startExchange(endpoint_connector &Connector,
                                             exchange_request Request,
                                             http_exchange_events Events) {
  auto Exchange =
      std::make_shared<tcp_exchange>(std::move(Request), std::move(Events));
  Exchange->start(Connector);
  return Exchange;
}

} // namespace clementinelane
