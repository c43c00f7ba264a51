#define BOOST_TEST_MODULE http_exchange
#include "loopback.h"

#include "http_exchange.h"

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
  void start(std::uint16_t To = Port) {
    http_exchange_events Events;
    Events.OnHead = [this](const http_head &Head) { Status = Head.Status; };
    Events.OnBody = [this](const std::string &Bytes) { Body += Bytes; };
    Events.OnEnd = [this] { Ended.set_value("whole"); };
    Events.OnFailure = [this](exchange_failure Failure) {
      constexpr std::array<const char *, 5> Names{"not_connected", "unanswered",
                                                  "peer_unavailable",
                                                  "no_answer", "broken_answer"};
      Ended.set_value(Names[static_cast<std::size_t>(Failure)]);
    };
    Events.MatchesRequest = [](const http_head &Head) {
      return Head.value("Id") != "other";
    };
    Thread.run([&] {
      Exchange = startExchange(Connector,
                               {{"127.0.0.1:" + std::to_string(To)},
                                "GET",
                                "GET /a HTTP/1.1\r\n\r\n",
                                2s},
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
};

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

BOOST_FIXTURE_TEST_CASE(closed_without_an_answer, fixture) {
  BOOST_TEST(answer("") == "no_answer");
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
