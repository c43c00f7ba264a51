#define BOOST_TEST_MODULE endless_answer
#include "routers_fixture.h"
#include "scripted_endpoint.h"

#include "config.h"
#include "http_exchange.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

/// Longer than any exchange here takes; only a hung one reaches it.
constexpr auto HangTimeout = 4s;
/// Bytes that an endpoint sends of an answer without end.
constexpr std::size_t SentBytes = 3 * config::MaxEndpointHeaderBytes;

std::string repeated(std::string_view Text, std::size_t Bytes) {
  std::string Whole;
  while (Whole.size() < Bytes)
    Whole += Text;
  return Whole;
}

const std::string Chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// One exchange with an endpoint that sends given bytes and keeps the
/// connection open.
struct exchange_fixture {
  boost::asio::io_context AcceptContext;
  boost::asio::ip::tcp::acceptor Acceptor{
      AcceptContext, {boost::asio::ip::make_address("127.0.0.1"), 0}, true};
  context_thread Thread;
  tcp_connector Connector{Thread.Context};
  std::shared_ptr<http_exchange> Exchange;
  std::promise<std::string> Ended;
  std::size_t BodyBytes = 0;

  ~exchange_fixture() {
    Thread.run([this] {
      if (Exchange)
        Exchange->cancel();
      Exchange.reset();
    });
  }

  /// How the exchange ended once all of `Bytes` were sent.
  std::string endOf(std::string_view Bytes) {
    http_exchange_events Events;
    Events.OnBody = [this](const std::string &Part) {
      BodyBytes += Part.size();
    };
    Events.OnEnd = [this] { Ended.set_value("whole"); };
    Events.OnFailure = [this](exchange_failure Failure) {
      Ended.set_value(Failure == exchange_failure::BrokenAnswer ? "broken"
                                                                : "other");
    };
    Events.MatchesRequest = [](const http_head &Head) {
      return Head.value("Id") != "other";
    };
    Thread.run([&] {
      const auto Port = std::to_string(Acceptor.local_endpoint().port());
      Exchange = startExchange(
          Connector,
          {{"127.0.0.1:" + Port}, "GET", "GET /a HTTP/1.1\r\n\r\n", 2s},
          std::move(Events));
    });
    raw_peer Endpoint(Acceptor);
    Endpoint.readUntil("\r\n\r\n");
    Endpoint.send(Bytes);
    auto End = Ended.get_future();
    return End.wait_for(HangTimeout) == std::future_status::ready
               ? End.get()
               : "still reading";
  }

  std::string endOfEndless(const std::string &Start, std::string_view Repeated,
                           std::size_t Bytes = SentBytes) {
    return endOf(Start + repeated(Repeated, Bytes));
  }
};

/// Two endpoints, and one whose answers don't end.
struct fleet_fixture : routers_fixture {
  /// `Events` of each stream; 0: plain answers.
  explicit fleet_fixture(unsigned Events = 3)
      : routers_fixture(2, behaviour(Events)) {}
  static standin::endpoint_behaviour behaviour(unsigned Events) {
    standin::endpoint_behaviour Behaviour;
    Behaviour.Events = Events;
    Behaviour.Work = 1ms;
    return Behaviour;
  }
  bool isWhole(const std::string &Body) {
    const std::string Answer = sendRequest(0, Body);
    return Answer.starts_with("HTTP/1.1 200") &&
           (Answer.ends_with("0\r\n\r\n") || Answer.ends_with(": " + Body));
  }

  /// Sends requests until the third endpoint got one; false if not all of them
  /// were served.
  bool areServedBeside(const std::string &Start, std::string_view Repeated) {
    const scripted_endpoint Endless(
        [&Start, Repeated](int, int) -> scripted_response {
          return {Start, true, repeated(Repeated, 8U << 10U)};
        });
    Thread.run([&] {
      Store->put("keyed.servers", "endless", entry(Endless.address()));
    });
    startRouter(false);
    for (int Each = 0; Each < 60 && Endless.requests("POST /review/1") == 0;
         ++Each)
      if (!isWhole("body " + std::to_string(Each)))
        return false;
    return Endless.requests("POST /review/1") > 0;
  }
  bool hasFailedOnce(const std::string &Reason) const {
    return hasMetric(0, "clementine_attempt_failures_total{reason=\"" + Reason +
                            "\"} 1");
  }
};

struct plain_fixture : fleet_fixture {
  plain_fixture() : fleet_fixture(0) {
    nlohmann::json Configuration = configuration();
    Configuration["version"] = 2;
    Configuration["routes"][0]["kind"] = "idempotent";
    Thread.run([&] { Store->put("keyed.op", "config", Configuration.dump()); });
  }
};

const std::string Signed =
    "HTTP/1.1 200 OK\r\nX-Instance-Signature: s\r\nX-Confidence: 100\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

// Failure: a response head that has no end.
BOOST_FIXTURE_TEST_CASE(endless_head_line, exchange_fixture) {
  BOOST_TEST(endOfEndless("HTTP/1.1 200 OK\r\nX: ", "a") == "broken");
}

// Failure: a response head with fields without end.
BOOST_FIXTURE_TEST_CASE(endless_head_fields, exchange_fixture) {
  BOOST_TEST(endOfEndless("HTTP/1.1 200 OK\r\n", "X: y\r\n") == "broken");
}

// Failure: bytes without end that are no HTTP.
BOOST_FIXTURE_TEST_CASE(endless_bytes_without_http, exchange_fixture) {
  BOOST_TEST(endOfEndless("", "x") == "broken");
}

// Failure: blank lines without end in place of a head.
BOOST_FIXTURE_TEST_CASE(endless_blank_lines, exchange_fixture) {
  BOOST_TEST(endOfEndless("", "\r\n") == "broken");
}

// Failure: a chunk size with digits without end.
BOOST_FIXTURE_TEST_CASE(endless_chunk_size, exchange_fixture) {
  BOOST_TEST(endOfEndless(Chunked + "2\r\nhi\r\n", "0") == "broken");
  BOOST_TEST(BodyBytes == 2U);
}

// Failure: a chunk extension without end.
BOOST_FIXTURE_TEST_CASE(endless_chunk_extension, exchange_fixture) {
  BOOST_TEST(endOfEndless(Chunked + "2\r\nhi\r\n5;x=", "a") == "broken");
}

// Failure: an extension without end, after a body that is long itself.
BOOST_FIXTURE_TEST_CASE(endless_extension_after_long_body, exchange_fixture) {
  BOOST_TEST(
      endOfEndless(Chunked + formatChunk(std::string(100'000, 'b')) + "5;x=",
                   "a") == "broken");
  BOOST_TEST(BodyBytes == 100'000U);
}

// Failure: an extension of the last chunk without end.
BOOST_FIXTURE_TEST_CASE(endless_last_chunk_extension, exchange_fixture) {
  BOOST_TEST(endOfEndless(Chunked + "0;x=", "a") == "broken");
}

// Failure: chunks of one byte, each with a long extension.
BOOST_FIXTURE_TEST_CASE(endless_long_extensions, exchange_fixture) {
  const std::string Chunk = "1;x=" + std::string(1000, 'a') + "\r\nb\r\n";
  BOOST_TEST(endOfEndless(Chunked, Chunk) == "broken");
}

// Failure: a trailer with fields without end.
BOOST_FIXTURE_TEST_CASE(endless_trailer_fields, exchange_fixture) {
  BOOST_TEST(endOfEndless(Chunked + "2\r\nhi\r\n0\r\n", "X: y\r\n") ==
             "broken");
}

// Failure: a trailer field without end.
BOOST_FIXTURE_TEST_CASE(endless_trailer_line, exchange_fixture) {
  BOOST_TEST(endOfEndless(Chunked + "2\r\nhi\r\n0\r\nX: ", "a") == "broken");
}

// Failure: interim heads without end, and no answer.
BOOST_FIXTURE_TEST_CASE(endless_interim_heads, exchange_fixture) {
  BOOST_TEST(endOfEndless("", "HTTP/1.1 100 Continue\r\n\r\n") == "broken");
}

// Failure: answers to other requests without end.
BOOST_FIXTURE_TEST_CASE(endless_other_answers, exchange_fixture) {
  BOOST_TEST(endOfEndless("", "HTTP/1.1 200 OK\r\nId: other\r\n"
                              "Content-Length: 2\r\n\r\nhi") == "broken");
}

// Failure: an answer to another request whose body has no end.
BOOST_FIXTURE_TEST_CASE(endless_body_of_other_answer, exchange_fixture) {
  BOOST_TEST(endOfEndless("HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "b",
                          config::MaxAnswerBufferBytes + SentBytes) ==
             "broken");
  BOOST_TEST(BodyBytes == 0U);
}

// Guards against limits that cut off an answer of many small chunks with
// extensions, such as signatures.
BOOST_FIXTURE_TEST_CASE(small_signed_chunks_are_whole, exchange_fixture) {
  const std::string Chunk = "1;signature=" + std::string(64, 'f') + "\r\nb\r\n";
  BOOST_TEST(endOf(Chunked + repeated(Chunk, 5000 * Chunk.size()) +
                   std::string(LastChunk)) == "whole");
  BOOST_TEST(BodyBytes == 5000U);
}

// Guards against limits that cut off a long body, or long but finite framing.
BOOST_FIXTURE_TEST_CASE(long_answer_is_whole, exchange_fixture) {
  const std::string Fields = repeated("X: y\r\n", 20'000);
  BOOST_TEST(endOf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + Fields +
                   "Transfer-Encoding: chunked\r\n\r\n" +
                   formatChunk(std::string(2'000'000, 'b')) + "0\r\n" + Fields +
                   "\r\n") == "whole");
  BOOST_TEST(BodyBytes == 2'000'000U);
}

// Failure: an engine's answer ends in a chunk extension without end. The
// request is tried elsewhere within its deadline.
BOOST_FIXTURE_TEST_CASE(endless_extension_is_tried_elsewhere, fleet_fixture) {
  BOOST_TEST(areServedBeside(Signed + "5;x=", "a"));
  BOOST_TEST(hasFailedOnce("broken_answer"));
}

// Failure: an engine sends interim heads without end.
BOOST_FIXTURE_TEST_CASE(endless_interim_is_tried_elsewhere, fleet_fixture) {
  BOOST_TEST(areServedBeside("", "HTTP/1.1 100 Continue\r\n\r\n"));
  BOOST_TEST(hasFailedOnce("broken_answer"));
}

// Failure: an engine's stream has an event without end.
BOOST_FIXTURE_TEST_CASE(endless_event_is_tried_elsewhere, fleet_fixture) {
  BOOST_TEST(
      areServedBeside(Signed, "1000\r\n" + std::string(4096, 'd') + "\r\n"));
  BOOST_TEST(hasFailedOnce("answer_too_long"));
}

// Failure: an endpoint's plain answers have bodies without end. Their callers
// get them until their time is up and see that they are cut; the others are
// served, and the endpoint soon gets no more of them.
BOOST_FIXTURE_TEST_CASE(endless_bodies_are_cut_visibly, plain_fixture) {
  const scripted_endpoint Endless([](int, int) -> scripted_response {
    return {"HTTP/1.1 200 OK\r\nX-Instance-Signature: s\r\n\r\n", true,
            repeated("body", 8U << 10U)};
  });
  Thread.run([&] {
    Store->put("keyed.servers", "endless", entry(Endless.address()));
  });
  startRouter(false);
  int Cut = 0;
  for (int Each = 0, Later = 0; Each < 60 && Later < 12; ++Each) {
    const std::string Body = "body " + std::to_string(Each);
    const std::string Answer = sendRequest(0, Body);
    BOOST_TEST(Answer.starts_with("HTTP/1.1 200"));
    Later += Cut > 0 ? 1 : 0;
    if (Answer.ends_with(": " + Body))
      continue;
    ++Cut;
    BOOST_TEST(Answer.size() > config::MaxAnswerBufferBytes);
    BOOST_TEST(Answer.find("\r\nTransfer-Encoding: chunked\r\n") !=
               std::string::npos);
    BOOST_TEST(!Answer.ends_with(LastChunk));
  }
  BOOST_TEST(Endless.requests("POST /review/1") == Cut);
  BOOST_TEST(Cut >= 1);
  BOOST_TEST(Cut <= 3);
}
