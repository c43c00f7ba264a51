#define BOOST_TEST_MODULE long_answer
#include "routers_fixture.h"
#include "scripted_endpoint.h"

#include "caller_server.h"
#include "config.h"
#include "http_exchange.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t LongBytes = 4U << 20U;
/// Longer than any of these tests takes.
constexpr auto HangTimeout = 10s;

/// A body in which no part equals another.
std::string numbered(std::size_t Bytes) {
  std::string Text;
  for (std::size_t Each = 0; Text.size() < Bytes; ++Each)
    Text += std::to_string(Each) + " ";
  Text.resize(Bytes);
  return Text;
}

std::string bodyOf(const std::string &Answer) {
  const std::size_t End = Answer.find("\r\n\r\n");
  return End == std::string::npos ? "" : Answer.substr(End + 4);
}

/// One endpoint that answers with `Answer`, on a route of plain calls that may
/// not be repeated.
struct booking_fixture : routers_fixture {
  explicit booking_fixture(const scripted_response &Answer)
      : routers_fixture(0, {}),
        Endpoint([Answer](int, int) { return Answer; }) {
    nlohmann::json Configuration = configuration();
    Configuration["version"] = 2;
    Configuration["routes"][0]["kind"] = "non_idempotent";
    Configuration["routes"][0]["resumable"] = false;
    Thread.run([&] {
      Store->put("keyed.op", "config", Configuration.dump());
      Store->put("keyed.servers", "long", entry(Endpoint.address()));
    });
    startRouter(false);
  }
  scripted_endpoint Endpoint;
};

std::string signedHead(std::size_t Length) {
  return "HTTP/1.1 200 OK\r\nX-Instance-Signature: s\r\nContent-Length: " +
         std::to_string(Length) + "\r\n\r\n";
}

} // namespace

// Load: answers at the size of what is held back, and far above it. Each comes
// whole, with its fields and its length.
BOOST_AUTO_TEST_CASE(answers_of_any_size_are_whole) {
  for (const std::size_t Bytes :
       {config::MaxAnswerBufferBytes - 44, config::MaxAnswerBufferBytes,
        config::MaxAnswerBufferBytes + 1, LongBytes}) {
    const std::string Body = numbered(Bytes);
    booking_fixture Fleet({signedHead(Bytes) + Body});
    const std::string Answer = Fleet.sendRequest(0, "hi");
    BOOST_TEST(Answer.starts_with("HTTP/1.1 200 OK\r\n"));
    BOOST_TEST(Answer.find("\r\nX-Instance-Signature: s\r\n") <
               Answer.find("\r\n\r\n"));
    BOOST_TEST(Answer.find("\r\nContent-Length: " + std::to_string(Bytes) +
                           "\r\n") < Answer.find("\r\n\r\n"));
    BOOST_TEST((bodyOf(Answer) == Body));
    BOOST_TEST(Fleet.Endpoint.requests("POST /review/1") == 1);
  }
}

// Failure: an endpoint closes in the middle of a long answer. The caller sees
// fewer bytes than stated, and the request isn't repeated.
BOOST_AUTO_TEST_CASE(cut_long_answer_is_seen_as_cut) {
  const std::string Body = numbered(LongBytes);
  booking_fixture Fleet({signedHead(LongBytes + 1) + Body, false});
  const std::string Answer = Fleet.sendRequest(0, "hi");
  BOOST_TEST(
      Answer.find("\r\nContent-Length: " + std::to_string(LongBytes + 1) +
                  "\r\n") < Answer.find("\r\n\r\n"));
  BOOST_TEST(bodyOf(Answer).size() <= LongBytes);
  BOOST_TEST(Body.starts_with(bodyOf(Answer)));
  BOOST_TEST(Fleet.Endpoint.requests("POST /review/1") == 1);
}

// Load: an endpoint writes without end, and what reads its answer pauses. No
// more than the sockets' buffers leaves the endpoint, and reading goes on.
BOOST_AUTO_TEST_CASE(paused_exchange_leaves_bytes_unread) {
  boost::asio::io_context AcceptContext;
  boost::asio::ip::tcp::acceptor Acceptor(
      AcceptContext, {boost::asio::ip::make_address("127.0.0.1"), 0});
  context_thread Thread;
  tcp_connector Connector{Thread.Context};
  std::shared_ptr<http_exchange> Exchange;
  std::size_t AfterPause = 0;
  bool IsPaused = false;
  std::string Body;
  std::promise<void> Paused;
  std::promise<void> Ended;
  http_exchange_events Events;
  Events.OnBody = [&](const std::string &Part) {
    if (IsPaused)
      AfterPause += Part.size();
    Body += Part;
    if (Body.size() == Part.size()) {
      IsPaused = true;
      Exchange->pauseReading();
      Paused.set_value();
    }
  };
  Events.OnEnd = [&] { Ended.set_value(); };
  Thread.run([&] {
    Exchange = startExchange(
        Connector,
        {{"127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port())},
         "GET",
         "GET /a HTTP/1.1\r\n\r\n",
         2s},
        std::move(Events));
  });
  raw_peer Endpoint(Acceptor);
  Endpoint.readUntil("\r\n\r\n");
  const std::string Sent = numbered(LongBytes);
  std::thread Writer([&] { Endpoint.send(signedHead(LongBytes) + Sent); });
  Paused.get_future().wait();
  for (int Each = 0; Each < 100; ++Each)
    Thread.run([] {});
  Thread.run([&] {
    BOOST_TEST(AfterPause == 0U);
    IsPaused = false;
    Exchange->resumeReading();
  });
  BOOST_TEST(
      (Ended.get_future().wait_for(HangTimeout) == std::future_status::ready));
  BOOST_TEST((Body == Sent));
  Writer.join();
  Thread.run([&] { Exchange.reset(); });
}

// Load: a caller that doesn't read an endless answer. What waits for it stays
// within the bound and one read, and others are served beside it.
BOOST_AUTO_TEST_CASE(endless_answer_to_slow_caller_stays_bounded) {
  constexpr std::uint16_t Port = 17412;
  context_thread Thread;
  std::unique_ptr<caller_server> Server;
  std::shared_ptr<caller_exchange> Held;
  std::size_t Drained = 0;
  std::promise<void> Full;
  std::promise<void> Gone;
  std::size_t Most = 0;
  Thread.run([&] {
    Server = std::make_unique<caller_server>(
        Thread.Context, "127.0.0.1:" + std::to_string(Port),
        [&](std::shared_ptr<caller_exchange> Exchange) {
          if (Exchange->head().Target != "/slow") {
            Exchange->answer(200, {}, "quick");
            return;
          }
          Held = std::move(Exchange);
          Held->begin(200, {});
          // As an endpoint does that is read only below the bound.
          const auto Fill = [&] {
            while (Held->unsentBytes() <= config::AnswerPauseBytes)
              Held->write(std::string(config::SocketReadBytes, 'x'));
            Most = std::max(Most, Held->unsentBytes());
          };
          Held->onDrained([&Drained, Fill] {
            ++Drained;
            Fill();
          });
          Held->onDisconnect([&] { Gone.set_value(); });
          Fill();
          Full.set_value();
        });
    server_limits Limits;
    Limits.StallTimeout = 300ms;
    Server->setLimits(Limits);
  });
  raw_peer Slow(Port);
  Slow.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
  Full.get_future().wait();
  raw_peer Quick(Port);
  Quick.send("GET /quick HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  BOOST_TEST(Quick.readAll().ends_with("quick"));
  BOOST_TEST(
      (Gone.get_future().wait_for(HangTimeout) == std::future_status::ready));
  Thread.run([&] {
    BOOST_TEST(Drained > 0U); // the sockets' buffers took some
    BOOST_TEST(Most <= config::AnswerPauseBytes + 2 * config::SocketReadBytes);
    Held.reset();
    Server.reset();
  });
}

// Load: a caller that takes its long answer slowly, beside 200 quick ones. All
// answers are whole.
BOOST_AUTO_TEST_CASE(slow_caller_beside_quick_ones_gets_all) {
  const std::string Body = numbered(LongBytes);
  booking_fixture Fleet({signedHead(LongBytes) + Body});
  std::thread Slow([&] {
    boost::asio::io_context Context;
    boost::asio::ip::tcp::socket Socket(Context);
    Socket.open(boost::asio::ip::tcp::v4());
    Socket.set_option(boost::asio::socket_base::receive_buffer_size(8192));
    Socket.connect(
        {boost::asio::ip::make_address("127.0.0.1"), Fleet.Vms[0]->CallerPort});
    boost::asio::write(Socket, boost::asio::buffer(std::string(
                                   "POST /review/1 HTTP/1.1\r\nHost: "
                                   "h.example\r\nX-Attempt-Id: slow\r\n"
                                   "X-Key: k1\r\n"
                                   "X-Deadline-Remaining-Ms: 4000\r\n"
                                   "Content-Length: 2\r\n"
                                   "Connection: close\r\n\r\nhi")));
    std::string Answer;
    std::array<char, 1024> Some{};
    boost::system::error_code Error;
    while (!Error) {
      const std::size_t Count =
          Socket.read_some(boost::asio::buffer(Some), Error);
      Answer.append(Some.data(), Count);
      if (Answer.size() < 2U << 10U) // then as fast as it comes
        std::this_thread::sleep_for(1s);
    }
    BOOST_TEST((bodyOf(Answer) == Body));
  });
  unsigned Whole = 0;
  for (int Each = 0; Each < 200; ++Each)
    Whole += bodyOf(Fleet.sendRequest(0, "q" + std::to_string(Each))) == Body
                 ? 1U
                 : 0U;
  Slow.join();
  BOOST_TEST(Whole == 200U);
}
