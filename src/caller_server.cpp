#include "caller_server.h"

#include "capacity/body_progress.h"
#include "capacity/config.h"
#include "clementinelane/error.h"
#include "clock.h"
#include "config.h"
#include "sockets.h"

#include <algorithm>
#include <array>
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
  memory_account_ptr Memory;
  std::size_t Draining = 0;   ///< connections whose refused body is dropped
  mono_time RoomSearchedAt{}; ///< when no connection could give way

  bool makeRoom(const connection *Asking, bool EndsIdle);
  void limitConnections();
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

mono_time now() { return asio::steady_timer::clock_type::now(); }

std::size_t excess(std::size_t Bytes, std::size_t Free) {
  return Bytes > Free ? Bytes - Free : 0;
}

/// A body and its charge, which ends with it.
struct held_body {
  std::string Text;
  memory_charge Charge;
};

early_answer answerFor(error_kind Kind) {
  const error_answer &Row = answerOf(Kind);
  early_answer Answer{Row.HttpStatus, {}, {}};
  if (Row.RetryAfter.count() > 0)
    Answer.Fields.push_back(
        {"Retry-After",
         std::to_string(
             std::chrono::ceil<std::chrono::seconds>(Row.RetryAfter).count())});
  return Answer;
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
        State(std::move(State)), Reserved(Reserved), Progress(now()),
        ActiveAt(now()),
        ConnectionCharge(this->State->Memory, memory_holder::Connection),
        InputCharge(this->State->Memory, memory_holder::Input),
        AnswerCharge(this->State->Memory, memory_holder::Answer) {}
  ~connection() {
    stopDraining();
    State->Connections.erase(this);
    if (Reserved > 0 && State->Policy)
      State->Policy->releaseReservation(Reserved);
  }
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  void open() {
    State->Connections.insert(this);
    if (!hold(ConnectionCharge, config::ConnectionBytes, true)) {
      drop("memory_short");
      close();
      return;
    }
    setSocketOptions(Socket);
    startRequest();
    read();
  }

  mono_time activeAt() const { return ActiveAt; }
  bool isAnswering() const { return Phase == phase::Answering; }
  bool isClosed() const { return Phase == phase::Closed; }

  std::size_t chargedBytes() const {
    return ConnectionCharge.bytes() + InputCharge.bytes() + HeadCharge.bytes() +
           BodyCharge.bytes() + AnswerCharge.bytes();
  }

  /// Whether it may be ended for the memory that it holds.
  bool givesWay(bool EndsIdle) const {
    if (IsAnswerFailed || !Progress.isStalled(now()))
      return false;
    if (Phase == phase::Answering)
      return UnsentBytes > config::FreeAnswerBytes;
    return Phase == phase::Reading && (EndsIdle || Reader->hasStarted());
  }

  void giveWay() {
    const auto Keep = shared_from_this();
    drop("gave_way");
    if (Phase == phase::Answering)
      failAnswer();
    else if (Reader->hasStarted())
      refuse(answerFor(error_kind::BodyTooSlow));
    else
      close();
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
    Framing = {};
    IsBodyExpected = false;
    Progress = body_progress(now());
    ActiveAt = now();
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
    if (Reader->hasStarted()) {
      drop("too_slow");
      refuse(answerFor(error_kind::BodyTooSlow));
    } else {
      closeGracefully();
    }
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
    (this->*phaseHandler())();
    read();
  }

  void (connection::*phaseHandler())() {
    switch (Phase) {
    case phase::Reading:
      return &connection::parse;
    case phase::Answering:
      return &connection::holdPipelined;
    default:
      return &connection::dropReceived;
    }
  }

  // Load: a caller that goes on sending a body that was refused. Harm
  // prevented: the VM reads it for as long as it comes.
  void dropReceived() {
    DrainedBytes += Pending.size();
    Pending.clear();
    if (DrainedBytes > config::MaxDrainedBytes)
      close();
  }

  // What doesn't fit is dropped unread, and the connection closed after the
  // answer: a caller learns from the close that these requests weren't read.
  void holdPipelined() {
    // Once reading stops, the kernel holds more.
    const std::size_t Unread = Pending.size() > config::MaxPipelinedBytes
                                   ? config::MaxReceivedBytes
                                   : 0;
    if (!IsInputDropped && hold(InputCharge, heldInput() + Unread))
      return;
    if (!IsInputDropped)
      drop("pipelined");
    IsInputDropped = true;
    KeepsAlive = false;
    releaseInput();
  }

  std::size_t heldInput() const {
    return excess(Pending.capacity(), config::FreeInputBytes);
  }

  void releaseInput() {
    Pending = {};
    InputCharge.release();
  }

  /// Charges `Bytes` in all; ends stalled connections if they don't fit.
  bool hold(memory_charge &Charge, std::size_t Bytes, bool EndsIdle = false) {
    while (!Charge.tryResize(Bytes))
      if (!State->makeRoom(this, EndsIdle))
        return false;
    return true;
  }

  void drop(std::string_view Reason) {
    if (State->Policy)
      State->Policy->onDropped(Reason);
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
    const std::size_t BodyBefore = Reader->body().size();
    const std::size_t Consumed = Reader->feed(Pending, Error);
    Pending.erase(0, Consumed);
    if (Pending.empty() && Pending.capacity() > config::FreeInputBytes)
      releaseInput();
    Progress.moved(Consumed, now());
    if (Error) {
      refuse({statusOf(Error), {}, {}});
      return;
    }
    if (!Reader->hasStarted())
      return;
    if (!Reader->isHeadDone()) {
      readOnHead();
      return;
    }
    Framing.addReceived(Consumed);
    Framing.addBody(Reader->body().size() - BodyBefore);
    if (!IsBodyExpected && !beginBody())
      return;
    if (!hold(BodyCharge, std::max<std::size_t>(Reader->framing().Length,
                                                Reader->bodyCapacity()))) {
      refuseForMemory();
      return;
    }
    if (Reader->isDone()) {
      dispatch();
      return;
    }
    if (Reader->framing().Length >= config::LargeBodyBytes)
      setReceiveBuffer(config::LargeBodyReceiveBufferBytes);
    // Bytes that aren't parsed: a chunk header, or trailers.
    if (Pending.size() > State->Limits.MaxHeaderBytes ||
        Framing.isExceeded(0)) {
      refuse({400, {}, {}});
      return;
    }
    if (!hold(InputCharge, heldInput())) {
      refuseForMemory();
      return;
    }
    armTimer(std::min<duration>(State->Limits.IdleTimeout,
                                Progress.endsAt() - now()));
    sendContinue();
  }

  // A caller may send its head a byte at a time to keep a descriptor in use.
  // The timeout counts from the first byte, not the last.
  void readOnHead() {
    if (!hold(InputCharge, heldInput())) {
      refuseForMemory();
      return;
    }
    if (!IsHeaderTimerArmed)
      armTimer(State->Limits.HeaderTimeout);
    IsHeaderTimerArmed = true;
  }

  /// Decides by the head whether to read the body; false: it was refused.
  bool beginBody() {
    IsBodyExpected = true;
    const http_head &Head = Reader->head();
    HeadCharge = memory_charge(State->Memory, memory_holder::Input);
    if (!hold(HeadCharge, excess(heldBytes(Head), config::FreeInputBytes))) {
      refuseForMemory();
      return false;
    }
    body_terms Terms;
    if (State->Policy && !Reader->isDone()) {
      if (auto Answer = State->Policy->checkHead(Head, Terms)) {
        refuse(std::move(*Answer));
        return false;
      }
    }
    BodyCharge = memory_charge(State->Memory, memory_holder::Body,
                               std::move(Terms.Customer));
    Progress = body_progress(now(), Terms.Deadline);
    return true;
  }

  void sendContinue() {
    if (IsContinueSent ||
        !equalsIgnoreCase(Reader->head().value("Expect"), "100-continue"))
      return;
    IsContinueSent = true;
    send("HTTP/1.1 100 Continue\r\n\r\n");
  }

  void dispatch();

  void setReceiveBuffer(std::size_t Bytes) {
    if (ReceiveBuffer == Bytes)
      return;
    ReceiveBuffer = Bytes;
    error_code Ignored; // the buffer stays as it is
    Socket.set_option(
        asio::socket_base::receive_buffer_size(static_cast<int>(Bytes)),
        Ignored);
  }

  void refuseForMemory() {
    drop("memory_short");
    refuse(answerFor(error_kind::MemoryShort));
  }

  /// Answers without reading the rest of the request.
  void refuse(early_answer Answer) {
    Phase = phase::Answering;
    KeepsAlive = false;
    IsDrained = !Reader->isDone();
    IsInputDropped = true;
    // A response to HEAD has no body (RFC 9112, 6.3).
    if (Reader->head().Method == "HEAD")
      Answer.Body.clear();
    releaseRequest();
    http_head Head;
    Head.Status = Answer.Status;
    Head.Fields = std::move(Answer.Fields);
    Head.Fields.push_back(
        {"Content-Length", std::to_string(Answer.Body.size())});
    Head.Fields.push_back({"Connection", "close"});
    send(responseHeadText(Head) + Answer.Body);
    finishAnswer();
  }

  void releaseRequest() {
    setReceiveBuffer(config::ReceiveBufferBytes);
    Reader.reset();
    HeadCharge.release();
    BodyCharge.release();
    releaseInput();
  }

  void send(std::string Bytes) {
    if (Phase == phase::Closed || IsAnswerFailed)
      return;
    if (!hold(AnswerCharge,
              excess(UnsentBytes + Bytes.size(), config::FreeAnswerBytes))) {
      drop("answer_not_taken");
      failAnswer();
      return;
    }
    if (WriteQueue.empty() && Phase == phase::Answering)
      Progress = body_progress(now());
    UnsentBytes += Bytes.size();
    WriteQueue.push_back(std::move(Bytes));
    if (WriteQueue.size() == 1)
      writeNext();
  }

  // Later, since the handler may be in the middle of its answer. Bytes are
  // missing, so the end of the connection mustn't look like the answer's.
  void failAnswer() {
    if (std::exchange(IsAnswerFailed, true))
      return;
    asio::post(Socket.get_executor(), [Self = shared_from_this()] {
      error_code Ignored; // the peer may have closed already
      Self->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
      Self->onClosed();
    });
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
    Progress.moved(Count, now());
    // Less always fits.
    static_cast<void>(
        AnswerCharge.tryResize(excess(UnsentBytes, config::FreeAnswerBytes)));
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
    if (IsAnswerFailed)
      return;
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
    // Less always fits.
    static_cast<void>(
        InputCharge.tryResize(std::min(InputCharge.bytes(), heldInput())));
    startRequest();
    if (!Pending.empty())
      parse();
    read();
  }

  // Closing a socket with unread bytes resets the connection, and the caller
  // could lose the answer. So only the sending side is closed first.
  void closeGracefully() {
    Phase = phase::Closing;
    releaseRequest();
    if (IsDrained && !startDraining()) {
      close();
      return;
    }
    error_code Ignored; // the peer may have closed already
    Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
    armTimer(config::CloseLingerTimeout);
    read();
  }

  bool startDraining() {
    if (State->Draining >= config::MaxDrainedConnections)
      return false;
    ++State->Draining;
    IsDraining = true;
    return true;
  }

  void stopDraining() {
    if (std::exchange(IsDraining, false))
      --State->Draining;
  }

  void close() {
    Phase = phase::Closed;
    Timer.cancel();
    error_code Ignored; // the peer may have closed already
    Socket.close(Ignored);
    WriteQueue.clear();
    OnDrained = nullptr;
    stopDraining();
    releaseRequest();
    AnswerCharge.release();
    ConnectionCharge.release();
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
  framing_limit Framing;
  body_progress Progress; ///< of the request, then of the answer
  mono_time ActiveAt;     ///< when it began to wait for a request
  bool IsBodyExpected = false;
  bool IsInputDropped = false; ///< pipelined requests are dropped unread
  bool IsAnswerFailed = false;
  bool IsDrained = false;  ///< the rest of a refused request is dropped
  bool IsDraining = false; ///< counted as such
  std::size_t DrainedBytes = 0;
  std::size_t ReceiveBuffer = config::ReceiveBufferBytes; ///< as for all
  memory_charge ConnectionCharge;
  memory_charge InputCharge;
  memory_charge HeadCharge;
  memory_charge BodyCharge;
  memory_charge AnswerCharge;
};

/// Ends the connection that holds most of those that have stalled; false if
/// there is none.
bool caller_server::shared_state::makeRoom(const connection *Asking,
                                           bool EndsIdle) {
  if (now() - RoomSearchedAt < config::RoomSearchPause)
    return false;
  connection *Largest = nullptr;
  for (connection *Each : Connections)
    if (Each != Asking && Each->givesWay(EndsIdle) &&
        (!Largest || Each->chargedBytes() > Largest->chargedBytes()))
      Largest = Each;
  if (!Largest) {
    RoomSearchedAt = now();
    return false;
  }
  Largest->giveWay();
  return true;
}

// Load: connections to a port that few have a use for. Harm prevented: they
// take the descriptors that callers need, or keep the newest one waiting.
void caller_server::shared_state::limitConnections() {
  if (Limits.MaxConnections == 0 || Connections.size() <= Limits.MaxConnections)
    return;
  std::size_t Open = 0;
  connection *Oldest = nullptr;
  for (connection *Each : Connections) {
    if (Each->isClosed())
      continue;
    ++Open;
    if (!Oldest || std::pair(Each->isAnswering(), Each->activeAt()) <
                       std::pair(Oldest->isAnswering(), Oldest->activeAt()))
      Oldest = Each;
  }
  if (Open > Limits.MaxConnections)
    Oldest->disconnect();
}

/// The handler's view of a request; it may outlive the connection.
class caller_server::connection::exchange final : public caller_exchange {
public:
  /// `Charges`: held until the answer has ended.
  exchange(std::shared_ptr<connection> Connection, http_head Head,
           held_body Body, std::array<memory_charge, 2> Charges)
      : Connection(std::move(Connection)), Head(std::move(Head)),
        Body(std::move(Body)), Charges(std::move(Charges)) {}
  ~exchange() override {
    if (!IsEnded)
      abortAnswer();
  }
  exchange(const exchange &) = delete;
  exchange &operator=(const exchange &) = delete;

  const http_head &head() const override { return Head; }
  const std::string &body() const override { return Body.Text; }
  std::shared_ptr<const std::string> takeBody() override {
    if (Body.Text.empty())
      return nullptr;
    const auto Held = std::make_shared<held_body>(std::move(Body));
    Body.Text.clear();
    return {Held, &Held->Text};
  }
  std::string moveBody() override { return std::exchange(Body.Text, {}); }
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
  held_body Body;
  std::array<memory_charge, 2> Charges;
  bool IsChunked = true;
  bool IsEndedByClose = false; ///< neither chunks nor length tell its end
  bool IsEnded = false;
};

void caller_server::connection::dispatch() {
  memory_charge RequestCharge(State->Memory, memory_holder::Request);
  if (!hold(RequestCharge, config::RequestBytes)) {
    refuseForMemory();
    return;
  }
  Phase = phase::Answering;
  Timer.cancel();
  setReceiveBuffer(config::ReceiveBufferBytes);
  KeepsAlive = Reader->keepAlive();
  held_body Body{Reader->takeBody(), std::move(BodyCharge)};
  auto Exchange = std::make_shared<exchange>(
      shared_from_this(), std::move(Reader->head()), std::move(Body),
      std::array{std::move(HeadCharge), std::move(RequestCharge)});
  Reader.reset();
  State->Handler(std::move(Exchange));
}

caller_server::caller_server(asio::io_context &Context,
                             std::string_view Address, handler Handler,
                             connection_policy *Policy,
                             memory_account_ptr Memory)
    : Acceptor(Context), AcceptTimer(Context),
      State(std::make_shared<shared_state>()) {
  const auto Endpoint = parseAddress(Address);
  if (!Endpoint)
    throw std::invalid_argument("invalid listen address: " +
                                std::string(Address));
  this->Address = *Endpoint;
  State->Handler = std::move(Handler);
  State->Policy = Policy;
  State->Memory = std::move(Memory);
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
  // Before connections are accepted, which take it over.
  error_code Ignored; // the system's default is larger
  Acceptor.set_option(
      asio::socket_base::receive_buffer_size(config::ReceiveBufferBytes),
      Ignored);
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

std::size_t caller_server::answeringConnections() const {
  return static_cast<std::size_t>(
      std::count_if(State->Connections.begin(), State->Connections.end(),
                    [](const connection *C) { return C->isAnswering(); }));
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
    State->limitConnections();
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
