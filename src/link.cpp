#include "link.h"

#include "capacity/config.h"
#include "config.h"
#include "link_p.h"

#include <charconv>
#include <future>
#include <thread>
#include <unordered_map>
#include <vector>

namespace clementinelane {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace link_detail {

result<tcp::endpoint> parseAddress(std::string_view Address) {
  const auto Colon = Address.rfind(':');
  if (Colon == std::string_view::npos)
    return error_kind::PeerUnavailable;
  boost::system::error_code Error;
  const auto Ip =
      asio::ip::make_address(std::string(Address.substr(0, Colon)), Error);
  std::uint16_t Port = 0;
  const std::string_view Digits = Address.substr(Colon + 1);
  const auto Parsed =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
  if (Error || Parsed.ec != std::errc())
    return error_kind::PeerUnavailable;
  return tcp::endpoint(Ip, Port);
}

connection::connection(tcp::socket Socket, stream_events &Events,
                       memory_account_ptr Memory)
    : Socket(std::move(Socket)), Events(Events),
      Charge(std::move(Memory), memory_holder::Connection) {}

connection::~connection() { nghttp2_session_del(Session); }

std::size_t connection::heldBytes() const {
  std::size_t Sum =
      LinkConnectionBytes + LinkCallBytes * (Receiving.size() + Sending.size());
  for (const auto &[Id, In] : Receiving)
    Sum += In.Body.capacity();
  for (const auto &[Id, Out] : Sending)
    Sum += Out->Body.capacity();
  return Sum;
}

// Load: calls that stop short of their end, or whose replies nobody reads. Harm
// prevented: they fill the memory of the process.
void connection::holdOrClose() {
  while (!Closed && !Charge.tryResize(heldBytes()))
    if (!Events.makeRoom(*this))
      close();
}

void connection::start(bool IsServer) {
  nghttp2_session_callbacks *Callbacks = nullptr;
  nghttp2_session_callbacks_new(&Callbacks);
  nghttp2_session_callbacks_set_on_header_callback(Callbacks, &onHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Callbacks, &onData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(Callbacks, &onFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(Callbacks, &onClose);
  if (IsServer)
    nghttp2_session_server_new(&Session, Callbacks, this);
  else
    nghttp2_session_client_new(&Session, Callbacks, this);
  nghttp2_session_callbacks_del(Callbacks);
  const std::array<nghttp2_settings_entry, 2> Settings{
      {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxStreams},
       {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, WindowBytes}}};
  nghttp2_submit_settings(Session, NGHTTP2_FLAG_NONE, Settings.data(),
                          Settings.size());
  nghttp2_session_set_local_window_size(Session, NGHTTP2_FLAG_NONE, 0,
                                        WindowBytes);
  boost::system::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  read();
  flush();
}

std::int32_t connection::submitRequest(std::string_view Path,
                                       std::string Body) {
  const std::string PathText(Path);
  const std::array<nghttp2_nv, 4> Headers{
      makeHeader(":method", "POST"), makeHeader(":scheme", "http"),
      makeHeader(":authority", "peer"), makeHeader(":path", PathText)};
  outgoing *Out = new outgoing{std::move(Body)};
  const nghttp2_data_provider Provider = makeDataProvider(Out);
  const std::int32_t Id = nghttp2_submit_request(
      Session, nullptr, Headers.data(), Headers.size(), &Provider, nullptr);
  if (Id < 0)
    delete Out;
  else
    Sending[Id].reset(Out);
  flush();
  return Id;
}

void connection::submitResponse(std::int32_t Stream,
                                result<std::string> Reply) {
  const bool Failed = !Reply;
  const std::string Kind =
      std::to_string(Failed ? static_cast<int>(kindOf(Reply.error())) : 0);
  const std::array<nghttp2_nv, 2> Headers{makeHeader(":status", "200"),
                                          makeHeader("error-kind", Kind)};
  auto Out = std::make_unique<outgoing>();
  if (!Failed)
    Out->Body = std::move(Reply).value();
  const nghttp2_data_provider Provider = makeDataProvider(Out.get());
  if (nghttp2_submit_response(Session, Stream, Headers.data(), Headers.size(),
                              &Provider) == 0)
    Sending[Stream] = std::move(Out);
  holdOrClose();
  flush();
}

void connection::close() {
  if (Closed)
    return;
  Closed = true;
  boost::system::error_code Ignored;
  Socket.close(Ignored);
  Receiving.clear();
  Charge.release();
  Events.onLost(*this);
}

nghttp2_nv connection::makeHeader(std::string_view Name,
                                  std::string_view Value) {
  const auto Bytes = [](std::string_view Text) {
    return reinterpret_cast<std::uint8_t *>(const_cast<char *>(Text.data()));
  };
  return {Bytes(Name), Bytes(Value), Name.size(), Value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

nghttp2_data_provider connection::makeDataProvider(outgoing *Out) {
  nghttp2_data_provider Provider{};
  Provider.source.ptr = Out;
  Provider.read_callback = &readBody;
  return Provider;
}

ssize_t connection::readBody(nghttp2_session *, std::int32_t,
                             std::uint8_t *Buffer, std::size_t Size,
                             std::uint32_t *Flags, nghttp2_data_source *Source,
                             void *) {
  auto *Out = static_cast<outgoing *>(Source->ptr);
  const std::size_t Count = std::min(Size, Out->Body.size() - Out->Sent);
  std::copy_n(Out->Body.data() + Out->Sent, Count, Buffer);
  Out->Sent += Count;
  if (Out->Sent == Out->Body.size())
    *Flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(Count);
}

int connection::onHeader(nghttp2_session *, const nghttp2_frame *Frame,
                         const std::uint8_t *Name, std::size_t NameSize,
                         const std::uint8_t *Value, std::size_t ValueSize,
                         std::uint8_t, void *Self) {
  auto &Stream =
      static_cast<connection *>(Self)->Receiving[Frame->hd.stream_id];
  const std::string_view Key(reinterpret_cast<const char *>(Name), NameSize);
  const std::string_view Text(reinterpret_cast<const char *>(Value), ValueSize);
  if (Key == ":path")
    Stream.Path = Text.substr(0, MaxLinkPathBytes);
  if (Key == ":status" && Text != "200")
    Stream.IsMalformed = true;
  if (Key == "error-kind") {
    const char *const End = Text.data() + Text.size();
    const auto [Rest, Error] =
        std::from_chars(Text.data(), End, Stream.ErrorKind);
    if (Error != std::errc() || Rest != End || Stream.ErrorKind < 0 ||
        Stream.ErrorKind >= static_cast<int>(error_kind::Count))
      Stream.IsMalformed = true;
  }
  return 0;
}

int connection::onData(nghttp2_session *Session, std::uint8_t,
                       std::int32_t Stream, const std::uint8_t *Bytes,
                       std::size_t Size, void *Self) {
  auto &In = static_cast<connection *>(Self)->Receiving[Stream];
  // Resets the stream at the message size limit, so that a peer that sends
  // without end can't exhaust this VM's memory.
  if (In.Body.size() + Size > config::MaxLinkMessageBytes)
    return nghttp2_submit_rst_stream(Session, NGHTTP2_FLAG_NONE, Stream,
                                     NGHTTP2_REFUSED_STREAM);
  In.Body.append(reinterpret_cast<const char *>(Bytes), Size);
  return 0;
}

int connection::onFrame(nghttp2_session *, const nghttp2_frame *Frame,
                        void *Self) {
  const bool MayEnd =
      Frame->hd.type == NGHTTP2_DATA || Frame->hd.type == NGHTTP2_HEADERS;
  if (!MayEnd || (Frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
    return 0;
  auto &This = *static_cast<connection *>(Self);
  This.IsUsed = true;
  This.Events.onMessage(This, Frame->hd.stream_id,
                        std::move(This.Receiving[Frame->hd.stream_id]));
  This.Receiving.erase(Frame->hd.stream_id);
  return 0;
}

int connection::onClose(nghttp2_session *, std::int32_t Stream, std::uint32_t,
                        void *Self) {
  auto &This = *static_cast<connection *>(Self);
  This.Receiving.erase(Stream);
  This.Sending.erase(Stream);
  This.Events.onStreamClosed(This, Stream);
  return 0;
}

void connection::read() {
  Socket.async_read_some(
      asio::buffer(Buffer),
      [Self = shared_from_this()](const boost::system::error_code &Error,
                                  std::size_t Size) {
        if (Error || nghttp2_session_mem_recv(Self->Session,
                                              Self->Buffer.data(), Size) < 0)
          return Self->close();
        Self->holdOrClose();
        Self->flush();
        Self->read();
      });
}

void connection::flush() {
  if (Writing || Closed)
    return;
  WriteBuffer.clear();
  const std::uint8_t *Bytes = nullptr;
  ssize_t Size = 0;
  while (WriteBuffer.size() < WriteBatchBytes &&
         (Size = nghttp2_session_mem_send(Session, &Bytes)) > 0)
    WriteBuffer.append(reinterpret_cast<const char *>(Bytes),
                       static_cast<std::size_t>(Size));
  if (Size < 0)
    return close();
  if (WriteBuffer.empty())
    return;
  Writing = true;
  asio::async_write(Socket, asio::buffer(WriteBuffer),
                    [Self = shared_from_this()](
                        const boost::system::error_code &Error, std::size_t) {
                      Self->Writing = false;
                      if (Error)
                        return Self->close();
                      Self->flush();
                    });
}

} // namespace link_detail

using link_detail::connection;
using link_detail::incoming;

class link_server::impl final : public link_detail::stream_events {
public:
  impl(std::string_view Address, link_handler Handler,
       memory_account_ptr Memory)
      : Handler(std::move(Handler)), Memory(std::move(Memory)),
        Acceptor(Context), AcceptTimer(Context) {
    const auto Endpoint = link_detail::parseAddress(Address);
    if (!Endpoint)
      throw std::system_error(Endpoint.error(), std::string(Address));
    Acceptor.open(Endpoint.value().protocol());
    Acceptor.set_option(tcp::acceptor::reuse_address(true));
    boost::system::error_code Ignored; // the system's default is larger
    Acceptor.set_option(
        asio::socket_base::receive_buffer_size(config::ReceiveBufferBytes),
        Ignored);
    Acceptor.bind(Endpoint.value());
    Acceptor.listen();
    accept();
    Thread = std::thread([this] { Context.run(); });
  }

  ~impl() {
    Context.stop();
    Thread.join();
  }
  impl(const impl &) = delete;
  impl &operator=(const impl &) = delete;

private:
  void accept() {
    Acceptor.async_accept(
        [this](const boost::system::error_code &Error, tcp::socket Socket) {
          if (Error)
            return acceptLater();
          auto Connection =
              std::make_shared<connection>(std::move(Socket), *this, Memory);
          Connections.push_back(Connection);
          Connection->start(true);
          limitUnused();
          accept();
        });
  }

  // Failure: no descriptor is free, and the connection that waits fails again
  // at once.
  void acceptLater() {
    AcceptTimer.expires_after(config::AcceptRetryDelay);
    AcceptTimer.async_wait([this](const boost::system::error_code &Error) {
      if (!Error)
        accept();
    });
  }

  // Load: connections without a call. Harm prevented: they take the descriptors
  // of this process. The oldest ones are closed.
  void limitUnused() {
    std::erase_if(Connections, [](const auto &Weak) {
      const auto Connection = Weak.lock();
      return !Connection || Connection->isClosed();
    });
    std::vector<std::shared_ptr<connection>> Unused;
    for (const auto &Weak : Connections)
      if (const auto Connection = Weak.lock(); !Connection->isUsed())
        Unused.push_back(Connection);
    for (std::size_t I = 0;
         I + link_detail::MaxUnusedConnections < Unused.size(); ++I)
      Unused[I]->close();
  }

  bool makeRoom(connection &For) override {
    std::shared_ptr<connection> Largest;
    for (const auto &Weak : Connections)
      if (const auto Connection = Weak.lock();
          Connection && Connection.get() != &For && !Connection->isClosed() &&
          (!Largest || Connection->heldBytes() > Largest->heldBytes()))
        Largest = Connection;
    if (!Largest || Largest->heldBytes() <= For.heldBytes())
      return false;
    Largest->close();
    return true;
  }

  void onMessage(connection &From, std::int32_t Stream,
                 incoming Message) override {
    std::weak_ptr<connection> Weak = From.weak_from_this();
    // The handler may reply from any thread and after the peer has
    // disconnected.
    Handler(Message.Path, std::move(Message.Body),
            [this, Weak, Stream](result<std::string> Reply) {
              asio::post(Context, [Weak, Stream, Reply = std::move(Reply)] {
                if (const auto Connection = Weak.lock())
                  Connection->submitResponse(Stream, Reply);
              });
            });
  }
  void onStreamClosed(connection &, std::int32_t) override {}
  void onLost(connection &) override {}

  link_handler Handler;
  memory_account_ptr Memory;
  asio::io_context Context;
  tcp::acceptor Acceptor;
  asio::steady_timer AcceptTimer;
  std::vector<std::weak_ptr<connection>> Connections; ///< the oldest first
  std::thread Thread;
};

link_server::link_server(std::string_view Address, link_handler Handler,
                         memory_account_ptr Memory)
    : Impl(std::make_unique<impl>(Address, std::move(Handler),
                                  std::move(Memory))) {}
link_server::~link_server() = default;

class link_client::impl final : public link_detail::stream_events {
public:
  impl()
      : Guard(asio::make_work_guard(Context)),
        Thread([this] { Context.run(); }) {}

  ~impl() {
    Context.stop();
    Thread.join();
  }
  impl(const impl &) = delete;
  impl &operator=(const impl &) = delete;

  void call(std::string Address, std::string Path, std::string Body,
            std::chrono::milliseconds Timeout, link_reply Done) {
    asio::post(Context,
               [this, Address = std::move(Address),
                Call = std::make_shared<pending_call>(
                    Context, std::move(Path), std::move(Body), std::move(Done)),
                Timeout] { begin(Address, Call, Timeout); });
  }

private:
  struct pending_call {
    pending_call(asio::io_context &Context, std::string Path, std::string Body,
                 link_reply Done)
        : Path(std::move(Path)), Body(std::move(Body)), Done(std::move(Done)),
          Timer(Context) {}
    void finish(result<std::string> Reply) {
      Timer.cancel();
      if (const link_reply Callback = std::exchange(Done, nullptr))
        Callback(std::move(Reply));
    }
    std::string Path;
    std::string Body;
    link_reply Done;
    asio::steady_timer Timer;
  };
  using call_ptr = std::shared_ptr<pending_call>;

  struct peer {
    std::shared_ptr<connection> Connection;
    std::vector<call_ptr> Waiting; ///< until the connection is open
    std::unordered_map<std::int32_t, call_ptr> Streams;
  };

  void begin(const std::string &Address, const call_ptr &Call,
             std::chrono::milliseconds Timeout) {
    Call->Timer.expires_after(Timeout);
    Call->Timer.async_wait(
        [this, Address, Call](const boost::system::error_code &Error) {
          if (!Error)
            drop(Address);
        });
    peer &Peer = Peers[Address];
    if (Peer.Connection)
      return send(Peer, Call);
    Peer.Waiting.push_back(Call);
    if (Peer.Waiting.size() == 1)
      connect(Address);
  }

  void connect(const std::string &Address) {
    const auto Endpoint = link_detail::parseAddress(Address);
    if (!Endpoint)
      return drop(Address);
    auto Socket = std::make_shared<tcp::socket>(Context);
    Socket->async_connect(
        Endpoint.value(),
        [this, Address, Socket](const boost::system::error_code &Error) {
          peer &Peer = Peers[Address];
          if (Error)
            return drop(Address);
          if (Peer.Waiting.empty() || Peer.Connection)
            return;
          Peer.Connection =
              std::make_shared<connection>(std::move(*Socket), *this);
          Peer.Connection->start(false);
          for (const call_ptr &Call : std::exchange(Peer.Waiting, {}))
            send(Peer, Call);
        });
  }

  static void send(peer &Peer, const call_ptr &Call) {
    const std::int32_t Stream =
        Peer.Connection->submitRequest(Call->Path, std::move(Call->Body));
    if (Stream < 0)
      return Call->finish(error_kind::PeerUnavailable);
    Peer.Streams[Stream] = Call;
  }

  // Closes the connection and fails all its calls, even if only one call timed
  // out. A connection that a device on the path no longer tracks stays silent
  // for good, so the next call must open a new one.
  void drop(const std::string &Address) {
    const auto Node = Peers.extract(Address);
    if (Node.empty())
      return;
    peer &Peer = Node.mapped();
    if (Peer.Connection)
      Peer.Connection->close();
    for (const call_ptr &Call : Peer.Waiting)
      Call->finish(error_kind::PeerUnavailable);
    for (const auto &[Stream, Call] : Peer.Streams)
      Call->finish(error_kind::PeerUnavailable);
  }

  auto find(const connection &Connection) {
    return std::find_if(Peers.begin(), Peers.end(), [&](const auto &Item) {
      return Item.second.Connection.get() == &Connection;
    });
  }

  void end(const connection &From, std::int32_t Stream,
           result<std::string> Reply) {
    const auto Peer = find(From);
    if (Peer == Peers.end())
      return;
    if (const auto Node = Peer->second.Streams.extract(Stream); !Node.empty())
      Node.mapped()->finish(std::move(Reply));
  }

  void onMessage(connection &From, std::int32_t Stream,
                 incoming Message) override {
    if (Message.IsMalformed)
      return end(From, Stream, error_kind::PeerIncompatible);
    if (Message.ErrorKind != 0)
      return end(From, Stream, static_cast<error_kind>(Message.ErrorKind));
    end(From, Stream, std::move(Message.Body));
  }

  void onStreamClosed(connection &From, std::int32_t Stream) override {
    end(From, Stream, error_kind::PeerUnavailable);
  }

  void onLost(connection &From) override {
    if (const auto Peer = find(From); Peer != Peers.end())
      drop(std::string(Peer->first));
  }

  asio::io_context Context;
  asio::executor_work_guard<asio::io_context::executor_type> Guard;
  std::unordered_map<std::string, peer> Peers;
  std::thread Thread;
};

link_client::link_client() : Impl(std::make_unique<impl>()) {}
link_client::~link_client() = default;

void link_client::call(std::string_view Address, std::string_view Path,
                       std::string Body, std::chrono::milliseconds Timeout,
                       link_reply Done) {
  Impl->call(std::string(Address), std::string(Path), std::move(Body), Timeout,
             std::move(Done));
}

result<std::string> link_client::callSync(std::string_view Address,
                                          std::string_view Path,
                                          std::string Body,
                                          std::chrono::milliseconds Timeout) {
  std::promise<result<std::string>> Promise;
  call(Address, Path, std::move(Body), Timeout,
       [&](result<std::string> Reply) { Promise.set_value(std::move(Reply)); });
  return Promise.get_future().get();
}

} // namespace clementinelane
