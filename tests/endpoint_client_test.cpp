#define BOOST_TEST_MODULE endpoint_client
#include "endpoint_client.h"
#include "scripted_endpoint.h"

#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <deque>
#include <limits>

using namespace clementinelane;
using namespace std::chrono_literals;
namespace event = request_event;

namespace {

constexpr std::string_view StreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

std::string chunk(std::string_view Text) {
  std::ostringstream Out;
  Out << std::hex << Text.size() << "\r\n" << Text << "\r\n";
  return Out.str();
}

std::string tokenEvent(int Index) {
  return R"(data: {"token_index":)" + std::to_string(Index) +
         R"(,"choices":[{"delta":{"content":"w"},"finish_reason":null}]})"
         "\n\n";
}

/// Collects the events of attempts and waits for each attempt's last one.
class event_queue {
public:
  attempt_callback sink() {
    return [this](request_input Event) {
      const std::scoped_lock Lock(Mutex);
      Events.push_back(std::move(Event));
      Changed.notify_all();
    };
  }
  request_input next() {
    std::unique_lock Lock(Mutex);
    Changed.wait(Lock, [this] { return !Events.empty(); });
    request_input Next = std::move(Events.front());
    Events.pop_front();
    return Next;
  }
  /// The event that ends the attempt; head and tokens events are discarded.
  request_input end() {
    for (;;) {
      request_input Next = next();
      if (!std::holds_alternative<event::head>(Next) &&
          !std::holds_alternative<event::tokens>(Next))
        return Next;
    }
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<request_input> Events;
};

constexpr auto ProgressTimeout = 200ms;
constexpr std::size_t MemoryBound = 8U << 20U;

struct fixture {
  manual_clock Clock;
  http_client_thread Http;
  timer_service Timers;
  std::atomic<int> LeavingSigns{0};
  progress_timeouts Limits{ProgressTimeout, ProgressTimeout, 30s};
  memory_account_ptr Memory = std::make_shared<memory_account>(MemoryBound);
  http_endpoint_transport Transport{
      Http,
      Timers,
      Clock,
      [this](const std::string &, bool IsLeaving) {
        LeavingSigns += IsLeaving ? 1 : 0;
      },
      Limits,
      Memory};
  event_queue Events;

  ~fixture() { Http.stop(); }

  request_input call(const scripted_endpoint &Endpoint, unsigned Attempt,
                     bool IsService, bool AtMostOnce) {
    start(Endpoint, Attempt, IsService, AtMostOnce);
    return Events.end();
  }

  void start(const scripted_endpoint &Endpoint, unsigned Attempt,
             bool IsService, bool AtMostOnce) {
    caller_request Request;
    Request.Id = "r1";
    Request.IsService = IsService;
    Request.Path = "/slots";
    Request.Body = IsService ? "slot" : R"({"model":"m","messages":[]})";
    endpoint_call Call{Endpoint.address(), "m@1", Attempt, 0, "",
                       AtMostOnce,         "e1"};
    Transport.start(Request, Call, Events.sink());
  }
};

const event::failed &failure(const request_input &Event) {
  BOOST_REQUIRE(std::holds_alternative<event::failed>(Event));
  return std::get<event::failed>(Event);
}

} // namespace

// A booking service accepts a call on a connection that was used before and
// fails before it responds. Sent again on a new one, the slot would be booked
// twice.
BOOST_FIXTURE_TEST_CASE(at_most_once_call_is_sent_once, fixture) {
  const scripted_endpoint Endpoint([](int, int Request) {
    if (Request == 0)
      return scripted_response{
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    return scripted_response{"", false};
  });
  constexpr int Calls = 50;
  for (unsigned Attempt = 1; Attempt <= Calls; ++Attempt)
    call(Endpoint, Attempt, true, true);
  BOOST_TEST(Endpoint.requests("POST /slots") == Calls);
}

// A service declares ten bytes, sends four and closes. Without a check the
// caller would get a truncated confirmation with status 200.
BOOST_FIXTURE_TEST_CASE(short_body_is_a_failure, fixture) {
  const scripted_endpoint Endpoint([](int, int) {
    return scripted_response{
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", false};
  });
  BOOST_TEST(
      (failure(call(Endpoint, 1, true, true)).Ran == run_state::MayHaveRun));
}

// A gateway sends 503 after the service behind it has booked. Taken for a
// refusal, the slot would be booked again elsewhere.
BOOST_FIXTURE_TEST_CASE(busy_status_of_an_at_most_once_call_is_its_answer,
                        fixture) {
  const scripted_endpoint Endpoint([](int, int) {
    return scripted_response{
        "HTTP/1.1 503 Busy\r\nX-Leaving: true\r\nContent-Length: 0\r\n\r\n"};
  });
  BOOST_TEST(
      std::holds_alternative<event::finished>(call(Endpoint, 1, true, true)));
  BOOST_TEST(
      (failure(call(Endpoint, 2, true, false)).Ran == run_state::NotRun));
  BOOST_TEST(LeavingSigns == 2);
}

// An engine sends one token and then only comments, which keep the connection
// alive. Counted as progress, they would make the caller wait until its
// deadline.
BOOST_FIXTURE_TEST_CASE(sse_comments_are_not_progress, fixture) {
  std::string Warm = std::string(StreamHead) + chunk(tokenEvent(0));
  const scripted_endpoint Endpoint([&](int, int) {
    return scripted_response{Warm, true, chunk(": ping\n\n")};
  });
  start(Endpoint, 1, false, false);
  while (!std::holds_alternative<event::tokens>(Events.next()))
    continue;
  Clock.advance(ProgressTimeout);
  BOOST_TEST(std::holds_alternative<event::silent>(Events.end()));
}

// An intermediary dropped the state of connections that were used before, so
// that bytes sent on them are lost without an error. Each attempt opens one of
// its own.
BOOST_FIXTURE_TEST_CASE(attempts_share_no_connection, fixture) {
  const std::string Whole =
      std::string(StreamHead) + chunk(tokenEvent(0)) +
      chunk(R"(data: {"choices":[{"delta":{},"finish_reason":"stop"}],)"
            R"("usage":{"prompt_tokens":1,"completion_tokens":1}})"
            "\n\ndata: [DONE]\n\n") +
      "0\r\n\r\n";
  constexpr int Kept = 8;
  std::atomic<int> Opened{0};
  const scripted_endpoint Endpoint([&](int Connection, int Request) {
    if (Request > 0)
      return scripted_response{""};
    ++Opened;
    while (Connection < Kept && Opened < Kept)
      std::this_thread::yield();
    return scripted_response{Whole};
  });
  unsigned Attempt = 0;
  for (; Attempt < Kept; ++Attempt)
    start(Endpoint, Attempt, false, false);
  for (int Answer = 0; Answer < Kept; ++Answer)
    BOOST_TEST(std::holds_alternative<event::finished>(Events.end()));
  for (; Attempt < 2 * Kept; ++Attempt)
    BOOST_TEST(std::holds_alternative<event::finished>(
        call(Endpoint, Attempt, false, false)));
  BOOST_TEST(Opened == 2 * Kept);
}

// An engine that goes silent amid its answer gets a cancel call.
BOOST_FIXTURE_TEST_CASE(silent_engine_is_told_to_stop, fixture) {
  std::atomic<bool> IsAsked{false};
  const scripted_endpoint Endpoint([&](int, int) {
    if (IsAsked.exchange(true))
      return scripted_response{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
    Clock.advance(ProgressTimeout);
    return scripted_response{std::string(StreamHead)};
  });
  BOOST_TEST(
      std::holds_alternative<event::silent>(call(Endpoint, 1, false, false)));
  Transport.cancel("r1", 1);
  while (Endpoint.requests("POST /v1/cancel") == 0)
    std::this_thread::sleep_for(1ms);
}

// Nothing listens at the endpoint's address. Nothing was sent, so another
// endpoint may run the work, and "not run" is correct.
BOOST_FIXTURE_TEST_CASE(refused_connection_means_not_run, fixture) {
  std::string Address;
  caller_request Request;
  Request.Id = "r1";
  Request.IsService = true;
  {
    const scripted_endpoint Closed(
        [](int, int) { return scripted_response{}; });
    Address = Closed.address();
  }
  Transport.start(Request, {Address, "booking", 1, 0, "", true, "e1"},
                  Events.sink());
  BOOST_TEST((failure(Events.end()).Ran == run_state::NotRun));
}

// Failure: an endpoint in trouble answers with a status that HTTP doesn't
// define, or with a field whose name holds a blank or a control byte.
BOOST_FIXTURE_TEST_CASE(malformed_answers_are_failures, fixture) {
  const std::string Length = "Content-Length: 2\r\n\r\nok";
  const std::vector<std::string> Heads{
      "HTTP/1.1 000 OK\r\n",
      "HTTP/1.1 099 OK\r\n",
      "HTTP/1.1 101 OK\r\n",
      "HTTP/1.1 999 OK\r\n",
      "HTTP/1.1 2000 OK\r\n",
      "HTTP/1.1 200 OK\r\nX Bad: 1\r\n",
      "HTTP/1.1 200 OK\r\nX-Bad : 1\r\n",
      "HTTP/1.1 200 OK\r\nA: b\r\n X-Bad: 1\r\n",
      "HTTP/1.1 200 OK\r\nX\x01-Bad: 1\r\n",
      "HTTP/1.1 200 OK\r\nBad\r\n"};
  unsigned Attempt = 0;
  for (const std::string &Head : Heads)
    for (const bool IsService : {false, true}) {
      const scripted_endpoint Endpoint([&](int, int) {
        return scripted_response{Head + Length, false};
      });
      BOOST_TEST_INFO(Head);
      BOOST_CHECK(failure(call(Endpoint, ++Attempt, IsService, true)).Ran ==
                  run_state::MayHaveRun);
    }
}

// Failure: an endpoint stops within the head of its answer and closes.
BOOST_FIXTURE_TEST_CASE(answers_ended_in_their_heads_are_failures, fixture) {
  const std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n";
  unsigned Attempt = 0;
  for (std::size_t Length = 1; Length < Head.size(); ++Length)
    for (const bool IsService : {false, true}) {
      const scripted_endpoint Endpoint([&](int, int) {
        return scripted_response{Head.substr(0, Length), false};
      });
      BOOST_TEST_INFO(Head.substr(0, Length));
      BOOST_CHECK(failure(call(Endpoint, ++Attempt, IsService, true)).Ran ==
                  run_state::MayHaveRun);
    }
}

// Failure: an endpoint sends a head without end, which would fill the memory of
// the process.
BOOST_FIXTURE_TEST_CASE(endless_head_is_a_failure, fixture) {
  for (const bool IsService : {false, true}) {
    const scripted_endpoint Endpoint([](int, int) {
      return scripted_response{"HTTP/1.1 200 OK\r\n", true,
                               "X: " + std::string(100'000, 'x') + "\r\n"};
    });
    BOOST_CHECK(
        failure(call(Endpoint, IsService ? 1 : 2, IsService, true)).Ran ==
        run_state::MayHaveRun);
  }
}

// Failure: a service sends a body without end.
BOOST_FIXTURE_TEST_CASE(endless_body_is_a_failure, fixture) {
  const scripted_endpoint Endpoint([](int, int) {
    return scripted_response{"HTTP/1.1 200 OK\r\n\r\n", true,
                             std::string(1'000'000, 'x')};
  });
  BOOST_CHECK(failure(call(Endpoint, 1, true, true)).Ran ==
              run_state::MayHaveRun);
  while (Memory->held() > 0) // until the attempt is destroyed
    std::this_thread::sleep_for(1ms);
}

// Failure: an engine sends sound events without end.
BOOST_FIXTURE_TEST_CASE(endless_stream_is_a_failure, fixture) {
  std::string Sound;
  while (Sound.size() < 500'000)
    Sound += tokenEvent(0);
  const scripted_endpoint Endpoint([&Sound](int, int) {
    return scripted_response{std::string(StreamHead), true, chunk(Sound)};
  });
  BOOST_CHECK(failure(call(Endpoint, 1, false, false)).Ran ==
              run_state::MayHaveRun);
}

// Failure: a service answers an upload at once, and resets the connection while
// it is written.
BOOST_FIXTURE_TEST_CASE(reset_amid_upload_is_a_failure, fixture) {
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor(
      Context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  caller_request Request;
  Request.Id = "r1";
  Request.IsService = true;
  Request.Method = "POST";
  Request.Body = std::string(std::size_t{32} << 20U, 'b');
  Transport.start(
      Request,
      {"127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port()),
       "booking", 1, 0, "", true, "e1"},
      Events.sink());
  auto Socket = Acceptor.accept();
  std::array<char, 16> Begin{};
  boost::asio::read(Socket, boost::asio::buffer(Begin)); // it is being sent
  const std::string Part = "HTTP/1.1 200 OK\r\n\r\npart";
  boost::asio::write(Socket, boost::asio::buffer(Part));
  Socket.set_option(boost::asio::socket_base::linger(true, 0));
  Socket.close();
  BOOST_CHECK(failure(Events.end()).Ran == run_state::MayHaveRun);
}
