#define BOOST_TEST_MODULE caller_server
#include "loopback.h"

#include "caller_server.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <rapidcheck.h>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t Port = 17411;

struct fixture {
  context_thread Thread;
  std::unique_ptr<caller_server> Server;
  std::vector<std::shared_ptr<caller_exchange>> Held;
  std::promise<void> Arrived;
  std::promise<void> Disconnected;

  fixture() {
    Thread.run([this] {
      Server = std::make_unique<caller_server>(
          Thread.Context, "127.0.0.1:17411",
          [this](std::shared_ptr<caller_exchange> E) { handle(std::move(E)); });
    });
  }
  ~fixture() {
    Thread.run([this] {
      Held.clear();
      Server.reset();
    });
  }
  void handle(std::shared_ptr<caller_exchange> Exchange) {
    if (Exchange->head().Target != "/hold") {
      Exchange->answer(200, {}, Exchange->body());
      return;
    }
    Exchange->onDisconnect([this] { Disconnected.set_value(); });
    Held.push_back(std::move(Exchange));
    Arrived.set_value();
  }
  /// Runs a function on the held request, on the server's thread.
  void withHeld(const std::function<void(caller_exchange &)> &Do) {
    Thread.run([&] { Do(*Held.back()); });
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(connection_is_reused, fixture) {
  raw_peer Caller(Port);
  for (int Each = 0; Each < 3; ++Each) {
    Caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi");
    BOOST_TEST(Caller.readUntil("hi").starts_with("HTTP/1.1 200 OK\r\n"));
  }
  Caller.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
              "\r\n2\r\nhi\r\n1\r\n!\r\n0\r\n\r\n");
  BOOST_TEST(Caller.readUntil("hi!").find("Content-Length: 3") !=
             std::string::npos);
}

// With two lengths, or a length and chunks, the end of the request is ambiguous
// and a second request could be smuggled in. It is refused and the connection
// closed.
BOOST_FIXTURE_TEST_CASE(contradictory_framing_is_refused, fixture) {
  for (const char *Fields :
       {"Content-Length: 2\r\nContent-Length: 3\r\n",
        "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
        "Content-Length: -1\r\n"}) {
    raw_peer Caller(Port);
    Caller.send(std::string("POST /a HTTP/1.1\r\nHost: h\r\n") + Fields +
                "\r\nhiGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string Answer = Caller.readAll();
    BOOST_TEST(Answer.starts_with("HTTP/1.1 400"), Fields);
    BOOST_TEST(Answer.find("HTTP/1.1", 1) == std::string::npos, Fields);
  }
}

// A coding that nobody decodes hides where the request ends, and its body could
// be taken for a second request.
BOOST_FIXTURE_TEST_CASE(unknown_transfer_coding_is_refused, fixture) {
  for (const char *Fields :
       {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: \"chunked\"\r\n",
        "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n"}) {
    raw_peer Caller(Port);
    Caller.send(std::string("POST /a HTTP/1.1\r\nHost: h\r\n") + Fields +
                "\r\nGET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const std::string Answer = Caller.readAll();
    BOOST_TEST(Answer.starts_with("HTTP/1.1 400"), Fields);
    BOOST_TEST(Answer.find("HTTP/1.1", 1) == std::string::npos, Fields);
  }
}

BOOST_FIXTURE_TEST_CASE(size_limits_are_enforced, fixture) {
  Thread.run([this] {
    server_limits Limits;
    Limits.MaxHeaderBytes = 256;
    Limits.MaxBodyBytes = 10;
    Server->setLimits(Limits);
  });
  raw_peer Long(Port);
  Long.send("GET /a HTTP/1.1\r\nX: " + std::string(400, 'x') + "\r\n\r\n");
  BOOST_TEST(Long.readAll().starts_with("HTTP/1.1 431"));
  raw_peer Large(Port);
  Large.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
  BOOST_TEST(Large.readAll().starts_with("HTTP/1.1 413"));
}

// A caller sends its header a byte at a time to keep a file descriptor in use.
BOOST_FIXTURE_TEST_CASE(slow_header_is_refused, fixture) {
  Thread.run([this] {
    server_limits Limits;
    Limits.HeaderTimeout = 50ms;
    Server->setLimits(Limits);
  });
  raw_peer Caller(Port);
  Caller.send("GET /a HT");
  BOOST_TEST(Caller.readAll().starts_with("HTTP/1.1 408"));
}

// A caller disconnects during its request: the handler is notified at once, and
// a later answer has no effect.
BOOST_FIXTURE_TEST_CASE(close_during_a_request_is_reported, fixture) {
  raw_peer Caller(Port);
  Caller.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  Arrived.get_future().wait();
  Caller.close();
  Disconnected.get_future().wait();
  withHeld([](caller_exchange &E) { E.answer(200, {}, "late"); });
}

// The next request arrives before the answer to the first: both are answered
// once and in order.
BOOST_FIXTURE_TEST_CASE(pipelined_requests_are_answered_in_order, fixture) {
  raw_peer Caller(Port);
  Caller.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"
              "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nsecond");
  Arrived.get_future().wait();
  withHeld([](caller_exchange &E) { E.answer(200, {}, "first"); });
  const std::string Both = Caller.readUntil("second");
  BOOST_TEST(Both.find("first") < Both.find("second"));
}

BOOST_FIXTURE_TEST_CASE(streams_are_chunked, fixture) {
  raw_peer Caller(Port);
  Caller.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  Arrived.get_future().wait();
  withHeld([](caller_exchange &E) {
    E.begin(200, {{"X", "1"}});
    E.write("hello");
    E.end();
  });
  BOOST_TEST(
      Caller.readUntil("0\r\n\r\n").ends_with("5\r\nhello\r\n0\r\n\r\n"));
}

// A stream can't be completed. The connection closes without the last chunk, so
// that the caller can't take the answer as complete.
BOOST_FIXTURE_TEST_CASE(aborted_stream_has_no_last_chunk, fixture) {
  raw_peer Caller(Port);
  Caller.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  Arrived.get_future().wait();
  withHeld([](caller_exchange &E) {
    E.begin(200, {});
    E.write("hello");
  });
  BOOST_TEST(Caller.readThrough("hello\r\n"));
  withHeld([](caller_exchange &E) { E.abortAnswer(); });
  BOOST_TEST(Caller.readAll().empty());
}

// Shutdown starts during a stream whose head didn't send Connection: close. The
// connection closes after the stream; a further request on it would be cut off
// when the VM stops.
BOOST_FIXTURE_TEST_CASE(shutdown_closes_after_an_active_stream, fixture) {
  raw_peer Caller(Port);
  Caller.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  Arrived.get_future().wait();
  withHeld([](caller_exchange &E) {
    E.begin(200, {});
    E.write("hello");
  });
  Thread.run([this] {
    Server->announceClose();
    Server->closeIdle();
  });
  BOOST_TEST(Server->busyConnections() == 1U);
  withHeld([](caller_exchange &E) { E.end(); });
  BOOST_TEST(Caller.readAll().ends_with("0\r\n\r\n"));
}

BOOST_FIXTURE_TEST_CASE(shutdown_sends_connection_close, fixture) {
  raw_peer Idle(Port);
  raw_peer Caller(Port);
  Caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  Caller.readUntil("\r\n\r\n");
  Thread.run([this] { Server->announceClose(); });
  Caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_TEST(Caller.readAll().find("Connection: close") != std::string::npos);
  Thread.run([this] { Server->closeIdle(); });
  BOOST_TEST(Idle.readAll().empty());
}

BOOST_FIXTURE_TEST_CASE(head_has_no_body, fixture) {
  raw_peer Caller(Port);
  Caller.send("HEAD /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  BOOST_TEST(Caller.readAll().ends_with("\r\n\r\n"));
}

// The parser never consumes more than its input and never throws, for any
// bytes.
BOOST_AUTO_TEST_CASE(reader_accepts_arbitrary_bytes) {
  const bool IsOk = rc::check([](const std::string &Bytes) {
    http_request_reader Request(1024, 1024);
    boost::system::error_code Error;
    const std::string Text = "POST / HTTP/1.1\r\n" + Bytes;
    RC_ASSERT(Request.feed(Text, Error) <= Text.size());
    http_response_reader Response(1024, std::nullopt);
    const std::string Answer = "HTTP/1.1 200 OK\r\n" + Bytes;
    RC_ASSERT(Response.feed(Answer, Error) <= Answer.size());
  });
  BOOST_TEST(IsOk);
}
