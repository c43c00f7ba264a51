#define BOOST_TEST_MODULE http_exchange
#include "loopback.h"

#include "http_exchange.h"
#include "transport/tunnel_frames.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t Port = 17421;

struct fixture {
  boost::asio::io_context AcceptContext;
  boost::asio::ip::tcp::acceptor Acceptor{
      AcceptContext, {boost::asio::ip::make_address("127.0.0.1"), Port}, true};
  context_thread Thread;
  tcp_connector Connector{Thread.Context};
  std::shared_ptr<http_exchange> Exchange;
  std::promise<std::string> Ended;
  std::string Body;
  unsigned Status = 0;

  ~fixture() {
    Thread.run([this] {
      if (Exchange)
        Exchange->cancel();
      Exchange.reset();
    });
  }
  /// Starts a request whose body doesn't fit into the buffers of the system.
  void startUpload() {
    start(Port, {},
          std::make_shared<const std::string>(std::size_t{64} << 20U, 'b'));
  }
  void start(std::uint16_t To = Port, const std::string &Peer = {},
             const std::shared_ptr<const std::string> &Upload = nullptr) {
    http_exchange_events Events;
    Events.OnHead = [this](const http_head &Head) { Status = Head.Status; };
    Events.OnBody = [this](const std::string &Bytes) { Body += Bytes; };
    Events.OnEnd = [this] { Ended.set_value("whole"); };
    Events.OnFailure = [this](exchange_failure Failure) {
      constexpr std::array<const char *, 6> Names{
          "not_connected", "unanswered",    "peer_unavailable",
          "no_answer",     "broken_answer", "tunnel_broken"};
      Ended.set_value(Names[static_cast<std::size_t>(Failure)]);
    };
    Events.MatchesRequest = [](const http_head &Head) {
      return Head.value("Id") != "other";
    };
    Thread.run([&] {
      Exchange = startExchange(Connector,
                               {{"127.0.0.1:" + std::to_string(To), Peer},
                                "GET",
                                "GET /a HTTP/1.1\r\n\r\n",
                                2s,
                                Upload},
                               std::move(Events));
    });
  }
  /// The endpoint sends `Bytes` and closes or resets; returns how the exchange
  /// ended.
  std::string answer(std::string_view Bytes, bool IsReset = false) {
    start();
    raw_peer Endpoint(Acceptor);
    Endpoint.readUntil("\r\n\r\n");
    Endpoint.send(Bytes);
    auto End = Ended.get_future();
    if (IsReset) {
      Thread.run([] {}); // lets the exchange read what was sent
      std::this_thread::sleep_for(20ms);
      Endpoint.reset();
    } else {
      Endpoint.close();
    }
    return End.get();
  }

  /// A VM opens a tunnel, sends `Bytes` into it, and closes or resets it;
  /// returns how the exchange ended.
  std::string answerThrough(const std::string &Fields, std::string_view Bytes,
                            bool IsReset = false) {
    Ended = {};
    Body.clear();
    start(Port, "127.0.0.1:" + std::to_string(Port));
    raw_peer Vm(Acceptor);
    Vm.readUntil("\r\n\r\n");
    Vm.send("HTTP/1.1 200 OK\r\n" + Fields + "\r\n");
    Vm.readUntil("\r\n\r\n");
    Vm.send(Bytes);
    auto End = Ended.get_future();
    if (IsReset)
      Vm.reset();
    else
      Vm.close();
    return End.get();
  }
};

const std::string FramesAgreed = "Tunnel-Frames: 1\r\n";
std::string frame(const std::string &Bytes) {
  return tunnelFrameHeader(tunnel_frame::Data, Bytes.size()) + Bytes;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(complete_by_content_length, fixture) {
  BOOST_TEST(answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi") ==
             "whole");
  BOOST_TEST(Body == "hi");
  BOOST_TEST(Status == 200U);
}

BOOST_FIXTURE_TEST_CASE(complete_by_close, fixture) {
  BOOST_TEST(answer("HTTP/1.1 200 OK\r\n\r\nhi") == "whole");
  BOOST_TEST(Body == "hi");
}

// A response without a length that ends with a reset is incomplete.
BOOST_FIXTURE_TEST_CASE(reset_is_incomplete, fixture) {
  BOOST_TEST(answer("HTTP/1.1 200 OK\r\n\r\nhi", true) == "broken_answer");
}

BOOST_FIXTURE_TEST_CASE(truncated_before_content_length, fixture) {
  BOOST_TEST(answer("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi") ==
             "broken_answer");
}

BOOST_FIXTURE_TEST_CASE(truncated_between_chunks, fixture) {
  BOOST_TEST(answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "2\r\nhi\r\n") == "broken_answer");
}

// An endpoint's answer comes in a coding that nobody decodes, or says its
// length in two ways: where it ends isn't known, so it isn't whole.
BOOST_FIXTURE_TEST_CASE(answer_in_unknown_coding_is_broken, fixture) {
  BOOST_TEST(answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhi") ==
             "broken_answer");
  BOOST_TEST(Body.empty());
}

BOOST_FIXTURE_TEST_CASE(answer_with_coding_and_length_is_broken, fixture) {
  BOOST_TEST(answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"
                    "Content-Length: 2\r\n\r\nhi") == "broken_answer");
  BOOST_TEST(Body.empty());
}

BOOST_FIXTURE_TEST_CASE(answer_of_http10_with_chunks_is_broken, fixture) {
  BOOST_TEST(answer("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "2\r\nhi\r\n0\r\n\r\n") == "broken_answer");
  BOOST_TEST(Body.empty());
}

// Failure: an endpoint's answer has a status that HTTP doesn't define, or
// switches to a protocol that nobody asked for.
BOOST_FIXTURE_TEST_CASE(answer_with_undefined_status_is_broken, fixture) {
  for (const char *Undefined : {"000", "001", "099", "101", "600", "999"}) {
    Ended = {};
    Status = 0;
    Body.clear();
    BOOST_TEST(answer(std::string("HTTP/1.1 ") + Undefined +
                      " X\r\nContent-Length: 2\r\n\r\nhi") == "broken_answer",
               Undefined);
    BOOST_TEST(Status == 0U);
    BOOST_TEST(Body.empty());
  }
}

// Guards against refusing the outermost statuses that HTTP defines.
BOOST_FIXTURE_TEST_CASE(answer_with_outermost_status_is_whole, fixture) {
  for (const char *Defined : {"200", "599"}) {
    Ended = {};
    BOOST_TEST(answer(std::string("HTTP/1.1 ") + Defined +
                      " X\r\nContent-Length: 0\r\n\r\n") == "whole");
    BOOST_TEST(std::to_string(Status) == Defined);
  }
}

// Failure: the name of a field in an endpoint's answer holds a blank or a
// control byte, also as its first or last byte.
BOOST_FIXTURE_TEST_CASE(answer_with_malformed_field_name_is_broken, fixture) {
  std::vector<std::string> Names{
      "X Bad",  "X-Bad ",          " X-Bad",          "\tX-Bad",
      " X Bad", "Content-Length ", " Content-Length", "Transfer-Encoding\t",
      ""};
  for (int Byte = 0; Byte < 0x20; ++Byte)
    Names.push_back(std::string("X") + static_cast<char>(Byte) + "Bad");
  Names.emplace_back("X\x7f");
  for (const std::string &Name : Names)
    for (const char *First : {"", "A: b\r\n"}) {
      Ended = {};
      Status = 0;
      Body.clear();
      BOOST_TEST(answer(std::string("HTTP/1.1 200 OK\r\n") + First + Name +
                        ": 1\r\nContent-Length: 2\r\n\r\nhi") ==
                     "broken_answer",
                 Name);
      BOOST_TEST(Status == 0U);
      BOOST_TEST(Body.empty());
    }
}

// Failure: an endpoint answers a long upload at once without a length, sends a
// part and resets the connection while the upload is being written.
BOOST_FIXTURE_TEST_CASE(reset_amid_upload_is_incomplete, fixture) {
  for (int Each = 0; Each < 20; ++Each) {
    Ended = {};
    Body.clear();
    startUpload();
    raw_peer Endpoint(Acceptor);
    Endpoint.readThrough("\r\n\r\n");
    Endpoint.send("HTTP/1.1 200 OK\r\n\r\npart");
    auto End = Ended.get_future();
    if (Each % 2 == 0)
      std::this_thread::sleep_for(5ms); // the exchange reads the part first
    Endpoint.reset();
    BOOST_TEST(End.get() == "broken_answer");
  }
}

// Failure: an endpoint is killed amid its answer to a long upload. Its system
// closes the connection in order, and refuses the rest of the upload after
// that.
BOOST_FIXTURE_TEST_CASE(end_that_refuses_the_upload_is_incomplete, fixture) {
  for (int Each = 0; Each < 10; ++Each) {
    Ended = {};
    Body.clear();
    startUpload();
    raw_peer Endpoint(Acceptor);
    Endpoint.readThrough("\r\n\r\n");
    Endpoint.send("HTTP/1.1 200 OK\r\n\r\npart");
    auto End = Ended.get_future();
    Endpoint.shutdownSend();
    std::this_thread::sleep_for(10ms);
    Endpoint.reset();
    BOOST_TEST(End.get() == "broken_answer");
  }
}

// The same through a tunnel that tells of an orderly end while the upload is
// still being written to it.
BOOST_FIXTURE_TEST_CASE(end_amid_upload_in_a_tunnel_is_incomplete, fixture) {
  start(9, "127.0.0.1:" + std::to_string(Port),
        std::make_shared<const std::string>(std::size_t{64} << 20U, 'b'));
  raw_peer Peer(Acceptor);
  Peer.readThrough("\r\n\r\n");
  Peer.send("HTTP/1.1 200 OK\r\n" + FramesAgreed + "\r\n");
  Peer.readThrough("\r\n\r\n");
  Peer.send(frame("HTTP/1.1 200 OK\r\n\r\npart") +
            tunnelFrameHeader(tunnel_frame::End));
  BOOST_TEST(Ended.get_future().get() == "broken_answer");
}

// Guards against taking an answer for incomplete because its upload wasn't read
// to the end.
BOOST_FIXTURE_TEST_CASE(answer_closed_amid_upload_is_whole, fixture) {
  startUpload();
  raw_peer Endpoint(Acceptor);
  Endpoint.readThrough("\r\n\r\n");
  Endpoint.send("HTTP/1.1 200 OK\r\n\r\nhi");
  Endpoint.shutdownSend();
  BOOST_TEST(Ended.get_future().get() == "whole");
  BOOST_TEST(Body == "hi");
}

BOOST_FIXTURE_TEST_CASE(closed_without_an_answer, fixture) {
  BOOST_TEST(answer("") == "no_answer");
}

// Failure: an endpoint stops within the head of its answer and closes the
// connection in order. What it sent isn't an answer without a body.
BOOST_FIXTURE_TEST_CASE(answer_that_ends_in_its_head_is_broken, fixture) {
  for (const std::string Before :
       {"", "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno"})
    for (const std::string Fields :
         {"Content-Length: 16\r\n", "Transfer-Encoding: chunked\r\n",
          "Content-Type: text/event-stream\r\n"}) {
      const std::string Head =
          "HTTP/1.1 200 OK\r\nId: own\r\n" + Fields + "\r\n";
      for (std::size_t Length = 1; Length < Head.size(); ++Length) {
        Ended = {};
        Body.clear();
        Status = 0;
        std::string Sent = Before;
        Sent += Head.substr(0, Length);
        BOOST_TEST_INFO(Sent);
        BOOST_TEST(answer(Sent) == "broken_answer");
        BOOST_TEST(Body.empty());
        BOOST_TEST(Status == 0U);
      }
    }
}

// The same through a tunnel that tells of the endpoint's orderly end.
BOOST_FIXTURE_TEST_CASE(answer_that_ends_in_its_head_is_broken_in_a_tunnel,
                        fixture) {
  const std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n";
  for (std::size_t Length = 1; Length < Head.size(); ++Length)
    BOOST_TEST(answerThrough(FramesAgreed,
                             frame(Head.substr(0, Length)) +
                                 tunnelFrameHeader(tunnel_frame::End, 0)) ==
               "broken_answer");
  BOOST_TEST(Body.empty());
  BOOST_TEST(Status == 0U);
}

// The same with a connection that is lost, which may take bytes with it.
BOOST_FIXTURE_TEST_CASE(answer_reset_in_its_head_is_not_whole, fixture) {
  const std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  for (std::size_t Length = 1; Length < Head.size(); ++Length) {
    Ended = {};
    BOOST_TEST_INFO(Head.substr(0, Length));
    BOOST_TEST(answer(Head.substr(0, Length), true) != "whole");
    BOOST_TEST(Status == 0U);
    BOOST_TEST(answerThrough(FramesAgreed,
                             frame(Head.substr(0, Length)) +
                                 tunnelFrameHeader(tunnel_frame::Broken)) ==
               "broken_answer");
    BOOST_TEST(Status == 0U);
  }
}

BOOST_FIXTURE_TEST_CASE(invalid_http_is_broken, fixture) {
  BOOST_TEST(answer("\x01\x02garbage\r\n\r\n") == "broken_answer");
}

// A response to another request precedes this request's on the connection. It
// is skipped.
BOOST_FIXTURE_TEST_CASE(unmatched_response_is_skipped, fixture) {
  BOOST_TEST(answer("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\n"
                    "wrongHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine") ==
             "whole");
  BOOST_TEST(Body == "mine");
}

// Bytes after a complete response are ignored.
BOOST_FIXTURE_TEST_CASE(trailing_bytes_are_dropped, fixture) {
  BOOST_TEST(answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 "
                    "200 OK\r\nContent-Length: 1\r\n\r\nx") == "whole");
  BOOST_TEST(Body == "hi");
}

BOOST_FIXTURE_TEST_CASE(interim_responses_are_skipped, fixture) {
  BOOST_TEST(answer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                    "Content-Length: 2\r\n\r\nhi") == "whole");
  BOOST_TEST(Status == 200U);
}

// Connection refused: nothing was sent, and the failure says so.
BOOST_FIXTURE_TEST_CASE(connection_refused_is_reported, fixture) {
  Acceptor.close();
  start();
  BOOST_TEST(Ended.get_future().get() == "not_connected");
}

// After a cancel the endpoint sees the connection close at once.
BOOST_FIXTURE_TEST_CASE(cancel_closes_the_connection, fixture) {
  start();
  raw_peer Endpoint(Acceptor);
  Endpoint.readUntil("\r\n\r\n");
  Thread.run([this] { Exchange->cancel(); });
  BOOST_TEST(Endpoint.readAll().empty());
}

// The VM with the tunnel is killed at some byte, and its system closes or
// resets the connection. Only with the end mark is an answer without length
// whole.
BOOST_FIXTURE_TEST_CASE(tunnel_that_ends_at_any_byte_is_broken, fixture) {
  const std::string Whole = frame("HTTP/1.1 200 OK\r\n\r\n") + frame("hi") +
                            tunnelFrameHeader(tunnel_frame::End);
  for (std::size_t End = 0; End < Whole.size(); ++End)
    for (const bool IsReset : {false, true})
      BOOST_TEST(answerThrough(FramesAgreed, Whole.substr(0, End), IsReset) ==
                 "tunnel_broken");
  BOOST_TEST(answerThrough(FramesAgreed, Whole) == "whole");
  BOOST_TEST(Body == "hi");
}

// The endpoint's own failure is told apart from the tunnel's.
BOOST_FIXTURE_TEST_CASE(failures_of_endpoints_pass_through_tunnels, fixture) {
  const std::string Head = frame("HTTP/1.1 200 OK\r\n\r\n");
  BOOST_TEST(answerThrough(FramesAgreed,
                           Head + frame("hi") +
                               tunnelFrameHeader(tunnel_frame::Broken)) ==
             "broken_answer");
  BOOST_TEST(
      answerThrough(FramesAgreed, tunnelFrameHeader(tunnel_frame::End)) ==
      "no_answer");
  BOOST_TEST(answerThrough(FramesAgreed, Head + "garbage") == "tunnel_broken");
}

// A VM of an earlier release sends bare bytes: an answer with a length is
// whole, and one that ends with the tunnel is broken off.
BOOST_FIXTURE_TEST_CASE(bare_tunnel_ends_no_answer, fixture) {
  BOOST_TEST(answerThrough("", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                               "\r\nhi") == "whole");
  BOOST_TEST(answerThrough("", "HTTP/1.1 200 OK\r\n\r\nhi") == "tunnel_broken");
}

// A body is sent after its head, once, and not held longer than that.
BOOST_FIXTURE_TEST_CASE(shared_body_follows_the_head, fixture) {
  const std::string Head = "POST /a HTTP/1.1\r\nContent-Length: 6\r\n\r\n";
  auto Shared = std::make_shared<const std::string>("thread");
  Thread.run([&] {
    http_exchange_events Events;
    Events.OnEnd = [this] { Ended.set_value("whole"); };
    Events.OnFailure = [this](exchange_failure) { Ended.set_value("failed"); };
    Exchange = startExchange(
        Connector,
        {{"127.0.0.1:" + std::to_string(Port)}, "POST", Head, 2s, Shared},
        std::move(Events));
  });
  raw_peer Endpoint(Acceptor);
  BOOST_TEST(Endpoint.readUntil("thread") == Head + "thread");
  Endpoint.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  BOOST_TEST(Ended.get_future().get() == "whole");
  Thread.run([&] { BOOST_TEST(Shared.use_count() == 1); });
  BOOST_TEST(Endpoint.readAll().empty());
}
