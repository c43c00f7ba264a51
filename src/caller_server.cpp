#include "caller_server.h"

#include "clock.h"
#include "config.h"
#include "sockets.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/system_error.hpp>
#include <deque>
#include <optional>
#include <stdexcept>

namespace clementinelane {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

struct caller_server::shared_state {
  handler Handler;
  connection_policy *Policy = nullptr;
  server_limits Limits;
  bool IsClosing = false;  ///< answers send Connection: close
  bool ClosesIdle = false; ///< idle connections are closed
  std::set<connection *> Connections;
};

namespace {

/// HTTP status for a parse error; 400 by default.
unsigned statusOf(const error_code &Error) {
  using boost::beast::http::error;
  if (Error == error::header_limit)
    return 431;
  if (Error == error::body_limit)
    return 413;
  return 400;
}

} // namespace

/// A caller's connection. It keeps reading during a request to detect a
/// disconnect, but handles the next request only after the current answer.
class caller_server::connection final
    : public std::enable_shared_from_this<connection> {
public:
  connection(asio::ip::tcp::socket Socket, std::shared_ptr<shared_state> State,
             double Reserved)
      : Socket(std::move(Socket)), Timer(this->Socket.get_executor()),
        State(std::move(State)), Reserved(Reserved) {}
  ~connection() {
    State->Connections.erase(this);
    if (Reserved > 0 && State->Policy)
      State->Policy->releaseReservation(Reserved);
  }
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  void open() {
    State->Connections.insert(this);
    setSocketOptions(Socket);
    startRequest();
    read();
  }

  bool isBusy() const {
    return Phase == phase::Answering ||
           (Phase == phase::Reading &&
            (Reader->hasStarted() || !Pending.empty()));
  }

  void disconnect() {
    const auto Keep = shared_from_this();
    onClosed();
  }

  void closeIfIdle() {
    if (Phase == phase::Reading && !isBusy())
      closeGracefully();
  }

private:
  class exchange;
  enum class phase { Reading, Answering, Closing, Closed };

  void startRequest() {
    Phase = phase::Reading;
    Reader = std::make_unique<http_request_reader>(State->Limits.MaxHeaderBytes,
                                                   State->Limits.MaxBodyBytes);
    armTimer(State->Limits.IdleTimeout + config::IdleCloseMargin);
    IsHeaderTimerArmed = false;
  }

  // One timer is used for the idle, header and body timeouts and for closing.
  void armTimer(duration After) {
    Timer.expires_after(After);
    Timer.async_wait([Weak = weak_from_this()](const error_code &Error) {
      if (const auto Self = Weak.lock(); Self && !Error)
        Self->onTimer();
    });
  }

  void onTimer() {
    // Load: callers that stop reading in the middle of an answer. Harm
    // prevented: each keeps a connection, its endpoint's and their buffers.
    if (Phase == phase::Answering && !WriteQueue.empty()) {
      onClosed();
      return;
    }
    if (Phase == phase::Closing) {
      close();
      return;
    }
    if (Phase != phase::Reading)
      return;
    if (Reader->hasStarted())
      sendError(408);
    else
      closeGracefully();
  }

  // Load: a caller sends further requests without waiting for answers. Harm
  // prevented: they exhaust memory. Reading stops at MaxPipelinedBytes.
  void read() {
    if (IsReading || Phase == phase::Closed ||
        Pending.size() > config::MaxPipelinedBytes)
      return;
    IsReading = true;
    Socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [Self = shared_from_this()](const error_code &Error) {
                        Self->IsReading = false;
                        Self->onReadable(Error);
                      });
  }

  void onReadable(const error_code &WaitError) {
    if (Phase == phase::Closed)
      return;
    const error_code Error =
        WaitError ? WaitError : readAvailable(Socket, Pending);
    if (Error == asio::error::would_block) {
      read();
      return;
    }
    if (Error) {
      onClosed();
      return;
    }
    if (Phase == phase::Closing)
      Pending.clear();
    if (Phase == phase::Reading)
      parse();
    read();
  }

  void onClosed() {
    const auto Callback = std::exchange(OnDisconnect, nullptr);
    const bool WasAnswering = Phase == phase::Answering;
    close();
    if (WasAnswering && Callback)
      Callback();
  }

  void parse() {
    error_code Error;
    const std::size_t Consumed = Reader->feed(Pending, Error);
    Pending.erase(0, Consumed);
    if (Error) {
      sendError(statusOf(Error));
      return;
    }
    if (!Reader->hasStarted())
      return;
    if (!Reader->isHeadDone()) {
      // A caller may send its header a byte at a time to keep a file descriptor
      // in use. The timeout counts from the first byte, not the last.
      if (!IsHeaderTimerArmed)
        armTimer(State->Limits.HeaderTimeout);
      IsHeaderTimerArmed = true;
      return;
    }
    if (Reader->isDone()) {
      dispatch();
      return;
    }
    armTimer(State->Limits.IdleTimeout);
    sendContinue();
  }

  void sendContinue() {
    if (IsContinueSent ||
        !equalsIgnoreCase(Reader->head().value("Expect"), "100-continue"))
      return;
    IsContinueSent = true;
    send("HTTP/1.1 100 Continue\r\n\r\n");
  }

  void dispatch();

  void sendError(unsigned Status) {
    Phase = phase::Answering;
    http_head Head;
    Head.Status = Status;
    Head.Fields = {{"Content-Length", "0"}, {"Connection", "close"}};
    KeepsAlive = false;
    send(responseHeadText(Head));
    finishAnswer();
  }

  void send(std::string Bytes) {
    if (Phase == phase::Closed)
      return;
    UnsentBytes += Bytes.size();
    WriteQueue.push_back(std::move(Bytes));
    if (WriteQueue.size() == 1)
      writeNext();
  }

  void writeNext() {
    if (Phase == phase::Answering)
      armTimer(State->Limits.StallTimeout);
    Socket.async_write_some(asio::buffer(WriteQueue.front()) + WrittenOfFront,
                            [Self = shared_from_this()](const error_code &Error,
                                                        std::size_t Count) {
                              Self->onWritten(Error, Count);
                            });
  }

  void onWritten(const error_code &Error, std::size_t Count) {
    if (Phase == phase::Closed)
      return;
    if (Error) {
      onClosed();
      return;
    }
    UnsentBytes -= Count;
    WrittenOfFront += Count;
    if (WrittenOfFront == WriteQueue.front().size()) {
      WriteQueue.pop_front();
      WrittenOfFront = 0;
    }
    if (!WriteQueue.empty())
      writeNext();
    else if (Phase == phase::Answering)
      Timer.cancel();
    if (WriteQueue.empty() && IsAnswerComplete)
      nextRequest();
    else if (const auto Callback = OnDrained;
             Callback && UnsentBytes <= config::AnswerResumeBytes)
      Callback();
  }

  // The complete answer is queued; the next request follows once it is sent.
  void finishAnswer() {
    IsAnswerComplete = true;
    OnDisconnect = nullptr;
    OnDrained = nullptr;
    if (WriteQueue.empty())
      nextRequest();
  }

  void nextRequest() {
    IsAnswerComplete = false;
    if (Phase == phase::Closed)
      return;
    // A stream that started before the shutdown didn't send Connection: close.
    if (!KeepsAlive || (State->ClosesIdle && Pending.empty())) {
      closeGracefully();
      return;
    }
    IsContinueSent = false;
    startRequest();
    if (!Pending.empty())
      parse();
    read();
  }

  // Closing a socket with unread bytes resets the connection, and the caller
  // could lose the answer. So only the sending side is closed first.
  void closeGracefully() {
    Phase = phase::Closing;
    Pending.clear();
    error_code Ignored; // the peer may have closed already
    Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
    armTimer(config::CloseLingerTimeout);
    read();
  }

  void close() {
    Phase = phase::Closed;
    Timer.cancel();
    error_code Ignored; // the peer may have closed already
    Socket.close(Ignored);
    WriteQueue.clear();
    OnDrained = nullptr;
  }

  // Without chunks or a length an orderly close would end the answer.
  void reset() {
    error_code Ignored; // the peer may have closed already
    Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    close();
  }

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  std::shared_ptr<shared_state> State;
  std::unique_ptr<http_request_reader> Reader;
  phase Phase = phase::Reading;
  bool IsReading = false;
  bool IsHeaderTimerArmed = false;
  bool IsContinueSent = false;
  bool KeepsAlive = true;
  double Reserved; ///< by the policy, until a request takes it
  bool IsAnswerComplete = false;
  std::string Pending;
  std::deque<std::string> WriteQueue;
  std::size_t WrittenOfFront = 0;
  std::size_t UnsentBytes = 0;
  std::function<void()> OnDisconnect;
  std::function<void()> OnDrained;
};

/// The handler's view of a request; it may outlive the connection.
class caller_server::connection::exchange final : public caller_exchange {
public:
  exchange(std::shared_ptr<connection> Connection, http_head Head,
           std::string Body)
      : Connection(std::move(Connection)), Head(std::move(Head)),
        Body(std::move(Body)) {}
  ~exchange() override {
    if (!IsEnded)
      abortAnswer();
  }
  exchange(const exchange &) = delete;
  exchange &operator=(const exchange &) = delete;

  const http_head &head() const override { return Head; }
  const std::string &body() const override { return Body; }
  std::shared_ptr<const std::string> takeBody() override {
    if (Body.empty())
      return nullptr;
    return std::make_shared<const std::string>(std::exchange(Body, {}));
  }
  double takeReservation() override {
    return std::exchange(Connection->Reserved, 0);
  }

  void answer(unsigned Status, std::vector<http_field> Fields,
              std::string_view Content) override {
    if (!isOpen())
      return;
    // A response to HEAD, 204 or 304 has no body (RFC 9112, 6.3).
    const bool HasBody =
        Head.Method != "HEAD" && Status != 204 && Status != 304;
    if (HasBody)
      Fields.push_back({"Content-Length", std::to_string(Content.size())});
    std::string Text = headText(Status, std::move(Fields));
    if (HasBody)
      Text += Content;
    IsEnded = true;
    Connection->send(std::move(Text));
    Connection->finishAnswer();
  }

  void begin(unsigned Status, std::vector<http_field> Fields,
             std::optional<std::uint64_t> Length) override {
    if (!isOpen())
      return;
    IsChunked = Head.Version >= 11 && !Length;
    IsEndedByClose = !IsChunked && !Length;
    if (Length)
      Fields.push_back({"Content-Length", std::to_string(*Length)});
    else if (IsChunked)
      Fields.push_back({"Transfer-Encoding", "chunked"});
    else
      Connection->KeepsAlive = false;
    Connection->send(headText(Status, std::move(Fields)));
  }

  void write(std::string_view Bytes) override {
    if (isOpen() && !Bytes.empty())
      Connection->send(IsChunked ? formatChunk(Bytes) : std::string(Bytes));
  }

  void end() override {
    if (!isOpen())
      return;
    IsEnded = true;
    if (IsChunked)
      Connection->send(std::string(LastChunk));
    Connection->finishAnswer();
  }

  void abortAnswer() override {
    if (!isOpen())
      return;
    IsEnded = true;
    Connection->OnDisconnect = nullptr;
    if (IsEndedByClose)
      Connection->reset();
    else
      Connection->close();
  }

  std::size_t unsentBytes() const override { return Connection->UnsentBytes; }

  void onDrained(std::function<void()> Callback) override {
    if (isOpen())
      Connection->OnDrained = std::move(Callback);
  }

  void onDisconnect(std::function<void()> Callback) override {
    if (isOpen())
      Connection->OnDisconnect = std::move(Callback);
  }

private:
  bool isOpen() const {
    return !IsEnded && Connection->Phase == phase::Answering;
  }

  std::string headText(unsigned Status, std::vector<http_field> Fields) {
    const shared_state &State = *Connection->State;
    if (State.IsClosing || Head.Version < 11 ||
        (State.Policy && Connection->Pending.empty() &&
         !State.Policy->keepsConnection()))
      Connection->KeepsAlive = false;
    if (!Connection->KeepsAlive)
      Fields.push_back({"Connection", "close"});
    http_head Response;
    Response.Status = Status;
    Response.Fields = std::move(Fields);
    return responseHeadText(Response);
  }

  std::shared_ptr<connection> Connection;
  http_head Head;
  std::string Body;
  bool IsChunked = true;
  bool IsEndedByClose = false; ///< neither chunks nor length tell its end
  bool IsEnded = false;
};

void caller_server::connection::dispatch() {
  Phase = phase::Answering;
  Timer.cancel();
  KeepsAlive = Reader->keepAlive();
  State->Handler(std::make_shared<exchange>(
      shared_from_this(), std::move(Reader->head()), Reader->takeBody()));
}

caller_server::caller_server(asio::io_context &Context,
                             std::string_view Address, handler Handler,
                             connection_policy *Policy)
    : Acceptor(Context), AcceptTimer(Context),
      State(std::make_shared<shared_state>()) {
  const auto Endpoint = parseAddress(Address);
  if (!Endpoint)
    throw std::invalid_argument("invalid listen address: " +
                                std::string(Address));
  this->Address = *Endpoint;
  State->Handler = std::move(Handler);
  State->Policy = Policy;
  error_code Error;
  listen(Error);
  if (Error)
    throw boost::system::system_error(Error, std::string(Address));
  accept();
}

void caller_server::listen(error_code &Error) {
  Acceptor.open(Address.protocol(), Error);
  if (!Error)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Address, Error);
  if (!Error)
    Acceptor.listen(config::ListenBacklog, Error);
}

// Pending requests are reported as disconnected, and no connection calls the
// handler again, since its owner is destroyed with the server.
caller_server::~caller_server() {
  State->Policy = nullptr;
  const auto Connections = State->Connections;
  for (connection *Connection : Connections)
    Connection->disconnect();
}

void caller_server::setLimits(const server_limits &Value) {
  State->Limits = Value;
}

void caller_server::announceClose() { State->IsClosing = true; }

void caller_server::closeIdle() {
  error_code Ignored; // it may be closed already
  Acceptor.close(Ignored);
  State->ClosesIdle = true;
  const auto Connections = State->Connections;
  for (connection *Connection : Connections)
    Connection->closeIfIdle();
}

std::size_t caller_server::connections() const {
  return State->Connections.size();
}

std::size_t caller_server::busyConnections() const {
  std::size_t Count = 0;
  for (const connection *Connection : State->Connections)
    Count += Connection->isBusy() ? 1 : 0;
  return Count;
}

void caller_server::accept() {
  Acceptor.async_accept(Life.guard([this](const error_code &Error,
                                          asio::ip::tcp::socket Socket) {
    if (Error == asio::error::operation_aborted || !Acceptor.is_open())
      return;
    if (Error) {
      acceptLater();
      return;
    }
    const auto Reserved =
        State->Policy ? State->Policy->acceptConnection() : std::optional(0.0);
    if (Reserved)
      std::make_shared<connection>(std::move(Socket), State, *Reserved)->open();
    const duration Pause =
        State->Policy ? State->Policy->acceptPause() : duration::zero();
    if (Pause > duration::zero())
      pauseListening(Pause);
    else
      accept();
  }));
}

// Load: a load balancer sends this VM more connections than its link carries.
// Harm prevented: callers send their requests before their connections are
// closed unread, and these bytes fill the link. Without a listener connections
// are refused before any of them is sent.
void caller_server::pauseListening(duration Time) {
  if (const std::size_t Count = closeArrived(); Count > 0 && State->Policy)
    State->Policy->leftUnread(Count);
  error_code Ignored; // there is nothing to undo
  Acceptor.close(Ignored);
  AcceptTimer.expires_after(Time);
  AcceptTimer.async_wait(Life.guard([this](const error_code &Error) {
    if (!Error)
      resumeListening();
  }));
}

// The listener's close would reset them uncounted.
std::size_t caller_server::closeArrived() {
  error_code Error;
  Acceptor.non_blocking(true, Error);
  std::size_t Count = 0;
  while (!Error && Count < config::ListenBacklog) {
    asio::ip::tcp::socket Socket(Acceptor.get_executor());
    Acceptor.accept(Socket, Error);
    Count += Error ? 0 : 1;
  }
  return Count;
}

void caller_server::resumeListening() {
  if (State->ClosesIdle)
    return;
  if (const duration Pause =
          State->Policy ? State->Policy->acceptPause() : duration::zero();
      Pause > duration::zero()) {
    pauseListening(Pause);
    return;
  }
  error_code Error;
  listen(Error);
  if (Error)
    pauseListening(config::AcceptRetryDelay);
  else
    accept();
}

// Failure: no descriptor is free, and the connection that waits fails again at
// once.
void caller_server::acceptLater() {
  AcceptTimer.expires_after(config::AcceptRetryDelay);
  AcceptTimer.async_wait(Life.guard([this](const error_code &Error) {
    if (!Error)
      accept();
  }));
}

} // namespace clementinelane
