#define BOOST_TEST_MODULE tunnel_server
#include "loopback.h"
#include "transport/tunnel_frames.h"
#include "tunnel_server.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;
constexpr std::uint16_t TunnelPort = 17590;
/// Which operation the system tells of a reset differs from time to time.
constexpr int UploadTrials = 10;

/// Admits as told.
struct scripted_policy final : tunnel_policy {
  tunnel_admission Admission = tunnel_admission::Allowed;
  tunnel_admission admitTunnel(std::string_view, std::string_view,
                               std::size_t) override {
    return Admission;
  }
  duration tunnelConnectTimeout(std::string_view) const override { return 1s; }
  void onTunnelConnect(std::string_view, std::optional<connect_failure>,
                       duration) override {}
};

struct fixture {
  context_thread Thread;
  system_runtime_clock Clock;
  tcp_connector Connector{Thread.Context};
  scripted_policy Policy;
  std::unique_ptr<tunnel_server> Server;
  boost::asio::io_context Context; ///< of the endpoint and the peer
  tcp::acceptor Acceptor{
      Context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
  tcp::socket Peer{Context};

  fixture() {
    Thread.run([this] {
      Server = std::make_unique<tunnel_server>(
          Thread.Context, Clock, "127.0.0.1:" + std::to_string(TunnelPort),
          Connector, Policy);
    });
    Peer.connect({boost::asio::ip::make_address("127.0.0.1"), TunnelPort});
  }
  ~fixture() {
    stop();
    Peer.close();
  }
  fixture(const fixture &) = delete;
  fixture &operator=(const fixture &) = delete;

  void stop() {
    Thread.run([this] { Server.reset(); });
  }
  void send(const std::string &Bytes) {
    boost::asio::write(Peer, boost::asio::buffer(Bytes));
  }
  std::string target() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }
  std::string connectText() const {
    return "CONNECT " + target() + " HTTP/1.1\r\nHost: " + target() +
           "\r\n\r\n";
  }
  /// Opens a tunnel and returns the endpoint's side of it.
  tcp::socket open(const std::string &Early = {}) {
    send(connectText() + Early);
    tcp::socket Endpoint = Acceptor.accept();
    BOOST_REQUIRE(readHead().starts_with("HTTP/1.1 200 "));
    return Endpoint;
  }
  /// Opens a tunnel with frames.
  tcp::socket openFramed() {
    send("CONNECT " + target() + " HTTP/1.1\r\nTunnel-Frames: 1\r\n\r\n");
    tcp::socket Endpoint = Acceptor.accept();
    BOOST_REQUIRE(readHead().find("\r\nTunnel-Frames: 1\r\n") !=
                  std::string::npos);
    return Endpoint;
  }
  void connectAgain() {
    Peer.close();
    Peer.connect({boost::asio::ip::make_address("127.0.0.1"), TunnelPort});
  }
  /// Sends until neither the tunnel nor the endpoint's system takes more.
  void fillUpwards() {
    const std::string Bytes(std::size_t{1} << 16U, 'b');
    Peer.non_blocking(true);
    for (int Full = 0; Full < 10;) {
      error_code Error;
      Peer.write_some(boost::asio::buffer(Bytes), Error);
      Full = Error ? Full + 1 : 0;
      if (Error)
        std::this_thread::sleep_for(5ms);
    }
    Peer.non_blocking(false);
  }
  static void resetConnection(tcp::socket &Socket) {
    Socket.set_option(boost::asio::socket_base::linger(true, 0));
    Socket.close();
  }
  std::string readHead() {
    std::string Head;
    error_code Ignored; // the head ends the check below
    boost::asio::read_until(Peer, boost::asio::dynamic_buffer(Head), "\r\n\r\n",
                            Ignored);
    return Head;
  }
  static std::string read(tcp::socket &From, std::size_t Count,
                          error_code &Error) {
    std::string Bytes(Count, ' ');
    Bytes.resize(boost::asio::read(From, boost::asio::buffer(Bytes), Error));
    return Bytes;
  }
};

std::string longText() {
  std::string Text;
  while (Text.size() < 4'000'000)
    Text.append(std::to_string(Text.size())).append(" ");
  return Text;
}

} // namespace

// Each reason not to open a tunnel has its own status, and no connection to the
// endpoint is opened.
BOOST_FIXTURE_TEST_CASE(tunnels_are_refused_with_the_reason, fixture) {
  const std::vector<std::pair<tunnel_admission, std::string>> Rows{
      {tunnel_admission::NotAPeer, "403"},
      {tunnel_admission::UnknownEndpoint, "404"},
      {tunnel_admission::EndpointUnreachable, "502"},
      {tunnel_admission::NoPath, "503"},
      {tunnel_admission::Busy, "503"}};
  for (const auto &[Admission, Status] : Rows) {
    Thread.run([&, Value = Admission] { Policy.Admission = Value; });
    send(connectText());
    BOOST_TEST(readHead().starts_with("HTTP/1.1 " + Status));
    Peer.close();
    Peer.connect({boost::asio::ip::make_address("127.0.0.1"), TunnelPort});
  }
  Acceptor.non_blocking(true);
  error_code Error;
  tcp::socket Endpoint(Context);
  Acceptor.accept(Endpoint, Error);
  BOOST_TEST((Error == boost::asio::error::would_block));
}

BOOST_FIXTURE_TEST_CASE(other_methods_are_refused, fixture) {
  send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_TEST(readHead().starts_with("HTTP/1.1 405 "));
}

// What follows a CONNECT is for the endpoint: one that announces a body of its
// own would mix both.
BOOST_FIXTURE_TEST_CASE(connect_with_a_body_is_refused, fixture) {
  send("CONNECT " + target() +
       " HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
  BOOST_TEST(readHead().starts_with("HTTP/1.1 400 "));
}

// A request longer than all buffers begins in the same packet as its CONNECT.
BOOST_FIXTURE_TEST_CASE(long_bodies_pass_unchanged, fixture) {
  const std::string Text = longText();
  tcp::socket Endpoint = open(Text.substr(0, 100));
  std::thread Writer([&] { send(Text.substr(100)); });
  error_code Error;
  BOOST_TEST((read(Endpoint, Text.size(), Error) == Text));
  Writer.join();
}

// A peer reads much more slowly than the endpoint writes, and gets everything.
BOOST_FIXTURE_TEST_CASE(slow_readers_get_the_whole_answer, fixture) {
  const std::string Text = longText();
  tcp::socket Endpoint = open();
  std::thread Writer([&] {
    boost::asio::write(Endpoint, boost::asio::buffer(Text));
    Endpoint.shutdown(tcp::socket::shutdown_send);
  });
  std::string Whole;
  error_code Error;
  while (!Error)
    Whole += read(Peer, 1000, Error);
  Writer.join();
  BOOST_TEST((Whole == Text));
  BOOST_TEST((Error == boost::asio::error::eof));
}

// An endpoint crashes amid its answer. A closed connection without an error
// would make an answer without length look complete.
BOOST_FIXTURE_TEST_CASE(reset_of_an_endpoint_reaches_the_peer, fixture) {
  tcp::socket Endpoint = open();
  boost::asio::write(Endpoint, boost::asio::buffer(std::string("part")));
  error_code Error;
  BOOST_TEST(read(Peer, 4, Error) == "part");
  Endpoint.set_option(boost::asio::socket_base::linger(true, 0));
  Endpoint.close();
  read(Peer, 1, Error);
  BOOST_TEST((Error == boost::asio::error::connection_reset));
}

// Failure: an endpoint sends a part of its answer and resets the connection
// while a long request is being written to it.
BOOST_FIXTURE_TEST_CASE(reset_amid_upload_reaches_the_peer, fixture) {
  for (int Each = 0; Each < UploadTrials; ++Each) {
    tcp::socket Endpoint = open();
    fillUpwards();
    boost::asio::write(Endpoint, boost::asio::buffer(std::string("part")));
    error_code Error;
    BOOST_TEST(read(Peer, 4, Error) == "part");
    resetConnection(Endpoint);
    read(Peer, 1, Error);
    BOOST_TEST((Error == boost::asio::error::connection_reset));
    connectAgain();
  }
}

BOOST_FIXTURE_TEST_CASE(reset_amid_upload_is_told_in_a_frame, fixture) {
  for (int Each = 0; Each < UploadTrials; ++Each) {
    tcp::socket Endpoint = openFramed();
    fillUpwards();
    boost::asio::write(Endpoint, boost::asio::buffer(std::string("part")));
    const std::string Frame = tunnelFrameHeader(tunnel_frame::Data, 4) + "part";
    error_code Error;
    BOOST_TEST((read(Peer, Frame.size(), Error) == Frame));
    resetConnection(Endpoint);
    BOOST_TEST((read(Peer, TunnelFrameHeaderBytes, Error) ==
                tunnelFrameHeader(tunnel_frame::Broken)));
    connectAgain();
  }
}

// Failure: an endpoint is killed amid its answer. Its system closes the
// connection in order, and refuses the rest of the request after that.
BOOST_FIXTURE_TEST_CASE(end_that_refuses_the_upload_is_told_as_broken,
                        fixture) {
  for (int Each = 0; Each < UploadTrials; ++Each) {
    tcp::socket Endpoint = openFramed();
    fillUpwards();
    Endpoint.shutdown(tcp::socket::shutdown_send);
    std::this_thread::sleep_for(10ms);
    resetConnection(Endpoint);
    error_code Error;
    BOOST_TEST((read(Peer, TunnelFrameHeaderBytes, Error) ==
                tunnelFrameHeader(tunnel_frame::Broken)));
    connectAgain();
  }
}

// Guards against taking an endpoint's orderly end for a loss because the
// request wasn't read to its end.
BOOST_FIXTURE_TEST_CASE(orderly_end_amid_upload_reaches_the_peer, fixture) {
  tcp::socket Endpoint = openFramed();
  fillUpwards();
  Endpoint.shutdown(tcp::socket::shutdown_send);
  error_code Error;
  BOOST_TEST((read(Peer, TunnelFrameHeaderBytes, Error) ==
              tunnelFrameHeader(tunnel_frame::End)));
}

// The VM with the tunnel stops amid an answer.
BOOST_FIXTURE_TEST_CASE(stop_resets_both_sides, fixture) {
  tcp::socket Endpoint = open();
  stop();
  error_code Error;
  read(Peer, 1, Error);
  BOOST_TEST((Error == boost::asio::error::connection_reset));
  read(Endpoint, 1, Error);
  BOOST_TEST((Error == boost::asio::error::connection_reset));
}

// A caller leaves, and its router gives up the attempt: the endpoint must not
// work on it further.
BOOST_FIXTURE_TEST_CASE(peer_that_leaves_ends_the_attempt, fixture) {
  tcp::socket Endpoint = open();
  Peer.close();
  error_code Error;
  read(Endpoint, 1, Error);
  BOOST_TEST(Error.failed());
}

// How the endpoint's connection ends is told explicitly: in order, broken, and
// nothing at all if the VM with the tunnel stops.
BOOST_FIXTURE_TEST_CASE(frames_tell_how_the_endpoint_ended, fixture) {
  for (const tunnel_frame Kind : {tunnel_frame::End, tunnel_frame::Broken}) {
    tcp::socket Endpoint = openFramed();
    const std::string Wanted =
        tunnelFrameHeader(tunnel_frame::Data, 4) + "part";
    boost::asio::write(Endpoint, boost::asio::buffer(std::string("part")));
    error_code Error;
    BOOST_TEST(read(Peer, Wanted.size(), Error) == Wanted);
    if (Kind == tunnel_frame::Broken)
      Endpoint.set_option(boost::asio::socket_base::linger(true, 0));
    Endpoint.close();
    BOOST_TEST(read(Peer, TunnelFrameHeaderBytes, Error) ==
               tunnelFrameHeader(Kind));
    read(Peer, 1, Error);
    BOOST_TEST((Error == boost::asio::error::eof));
    Peer.close();
    Peer.connect({boost::asio::ip::make_address("127.0.0.1"), TunnelPort});
  }
  tcp::socket Endpoint = openFramed();
  stop();
  error_code Error;
  BOOST_TEST(read(Peer, 1, Error).empty());
  BOOST_TEST((Error == boost::asio::error::connection_reset));
}
