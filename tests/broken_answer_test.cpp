#define BOOST_TEST_MODULE broken_answer
#include "routers_fixture.h"
#include "scripted_endpoint.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

/// Two sound services, and one whose answers are broken.
struct fixture : routers_fixture {
  fixture() : routers_fixture(2, behaviour()) {}

  static standin::endpoint_behaviour behaviour() {
    standin::endpoint_behaviour Behaviour;
    Behaviour.Work = 1ms;
    return Behaviour;
  }

  /// Sends requests of this kind until the broken endpoint got one; returns
  /// the answers of all.
  std::vector<std::string> answersBeside(const std::string &Kind,
                                         const std::string &Broken,
                                         bool IsResumable = true) {
    nlohmann::json Configuration = configuration();
    Configuration["version"] = 2;
    Configuration["routes"][0]["kind"] = Kind;
    Configuration["routes"][0]["resumable"] = IsResumable;
    const scripted_endpoint Endpoint([&Broken](int, int) -> scripted_response {
      return {Broken, false};
    });
    Thread.run([&] {
      Store->put("keyed.op", "config", Configuration.dump());
      Store->put("keyed.servers", "broken", entry(Endpoint.address()));
    });
    startRouter(false);
    std::vector<std::string> Answers;
    for (int Each = 0; Each < 100 && Endpoint.requests("POST /review/1") == 0;
         ++Each)
      Answers.push_back(sendRequest(0, "body"));
    BOOST_TEST(Endpoint.requests("POST /review/1") > 0);
    BOOST_TEST(hasMetric(
        0, "clementine_attempt_failures_total{reason=\"broken_answer\"} 1"));
    return Answers;
  }

  /// The sound services answer with streams.
  void streamEvents() {
    Thread.run([this] {
      for (const auto &Endpoint : Endpoints)
        Endpoint->behaviour().Events = 3;
    });
  }

  void checkBroken(const std::string &Broken) {
    for (const std::string &Answer : answersBeside("idempotent", Broken)) {
      BOOST_TEST(Answer.starts_with("HTTP/1.1 200"));
      BOOST_TEST(Answer.ends_with(": body"));
    }
  }

  /// A request that isn't idempotent gets no answer of the endpoint, and isn't
  /// said not to have run.
  void checkBrokenOnce(const std::string &Broken) {
    const std::vector<std::string> Answers =
        answersBeside("non_idempotent", Broken);
    BOOST_TEST(Answers.back().starts_with("HTTP/1.1 502"));
    BOOST_TEST(Answers.back().find("\"ran\":\"may_have_run\"") !=
               std::string::npos);
    BOOST_TEST(Answers.back().find("X-Instance-Signature") ==
               std::string::npos);
  }
};

std::string answerWith(const std::string &Status, const std::string &Field) {
  return "HTTP/1.1 " + Status + "\r\nX-Instance-Signature: s\r\n" + Field +
         "Content-Length: 6\r\n\r\nbroken";
}

} // namespace

// Failure: a service in trouble answers with a status that HTTP doesn't define.
BOOST_FIXTURE_TEST_CASE(undefined_status_is_tried_elsewhere, fixture) {
  checkBroken(answerWith("000 OK", ""));
}

BOOST_FIXTURE_TEST_CASE(undefined_status_ends_a_single_attempt, fixture) {
  checkBrokenOnce(answerWith("000 OK", ""));
}

BOOST_FIXTURE_TEST_CASE(undefined_status_of_a_stream_is_tried_elsewhere,
                        fixture) {
  streamEvents();
  for (const std::string &Answer :
       answersBeside("streaming", answerWith("000 OK", "")))
    BOOST_TEST(Answer.starts_with("HTTP/1.1 200"));
}

BOOST_FIXTURE_TEST_CASE(undefined_status_ends_a_stream_that_may_run_once,
                        fixture) {
  streamEvents();
  const std::vector<std::string> Answers =
      answersBeside("streaming", answerWith("000 OK", ""), false);
  BOOST_TEST(Answers.back().starts_with("HTTP/1.1 502"));
}

BOOST_FIXTURE_TEST_CASE(status_beyond_all_classes_is_tried_elsewhere, fixture) {
  checkBroken(answerWith("999 OK", ""));
}

// Failure: the name of a field in a service's answer holds a blank or a control
// byte.
BOOST_FIXTURE_TEST_CASE(blank_before_a_name_is_tried_elsewhere, fixture) {
  checkBroken(answerWith("200 OK", " X-Bad: 1\r\n"));
}

BOOST_FIXTURE_TEST_CASE(blank_before_a_name_ends_a_single_attempt, fixture) {
  checkBrokenOnce(answerWith("200 OK", "\tX-Bad: 1\r\n"));
}

BOOST_FIXTURE_TEST_CASE(blank_in_a_name_is_tried_elsewhere, fixture) {
  checkBroken(answerWith("200 OK", "X Bad: 1\r\n"));
}

BOOST_FIXTURE_TEST_CASE(control_byte_in_a_name_is_tried_elsewhere, fixture) {
  checkBroken(answerWith("200 OK", "X\x01-Bad: 1\r\n"));
}

// Failure: the line with the length begins with a blank, and the body ends
// with the connection.
BOOST_FIXTURE_TEST_CASE(length_with_a_blank_is_tried_elsewhere, fixture) {
  checkBroken("HTTP/1.1 200 OK\r\nX-Instance-Signature: s\r\n"
              " Content-Length: 3\r\n\r\nbroken");
}

// Failure: a service stops within the head of its answer and closes.
BOOST_FIXTURE_TEST_CASE(answer_ended_in_its_head_is_tried_elsewhere, fixture) {
  checkBroken("HTTP/1.1 200 OK\r\nX-Instance-Signature: s\r\n"
              "Content-Length: 1");
}

BOOST_FIXTURE_TEST_CASE(answer_ended_before_its_blank_line_is_tried_elsewhere,
                        fixture) {
  checkBroken("HTTP/1.1 200 OK\r\nX-Instance-Signature: s\r\n");
}

BOOST_FIXTURE_TEST_CASE(answer_ended_in_its_head_ends_a_single_attempt,
                        fixture) {
  checkBrokenOnce("HTTP/1.1 200 OK\r\nX-Instance-Signature: s\r\n"
                  "Content-Length: 1");
}

BOOST_FIXTURE_TEST_CASE(answer_ended_before_its_blank_line_ends_an_attempt,
                        fixture) {
  checkBrokenOnce("HTTP/1.1 200 OK\r\nX-Instance-Signature: s\r\n\r");
}
