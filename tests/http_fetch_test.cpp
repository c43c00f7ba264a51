#define BOOST_TEST_MODULE http_fetch
#include "http_fetch.h"
#include "scripted_endpoint.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

std::optional<fetch_answer> fetchFrom(const scripted_response &Response,
                                      duration Timeout = 20s) {
  const scripted_endpoint Process([&](int, int) { return Response; });
  return fetch({Process.address(),
                "POST",
                "/a",
                {{"Content-Type", "text/plain"}},
                "body",
                Timeout});
}

} // namespace

BOOST_AUTO_TEST_CASE(whole_answer_is_fetched) {
  const auto Answer =
      fetchFrom({"HTTP/1.1 404 No\r\nA: b\r\nContent-Length: 2\r\n\r\nhi"});
  BOOST_REQUIRE(Answer.has_value());
  BOOST_TEST(Answer->Head.Status == 404U);
  BOOST_TEST(Answer->Head.value("A") == "b");
  BOOST_TEST(Answer->Body == "hi");
}

BOOST_AUTO_TEST_CASE(request_is_sent_whole) {
  BOOST_TEST(fetchText({"h:1", "POST", "/a", {{"A", "b"}}, "hi", 1s}) ==
             "POST /a HTTP/1.1\r\nHost: h:1\r\nA: b\r\nContent-Length: 2\r\n"
             "Connection: close\r\n\r\nhi");
  BOOST_TEST(fetchText({"h:1", "GET", "/a", {}, {}, 1s}) ==
             "GET /a HTTP/1.1\r\nHost: h:1\r\nConnection: close\r\n\r\n");
}

// Failure: a process answers with bytes that are no whole answer.
BOOST_AUTO_TEST_CASE(broken_answers_are_none) {
  for (const char *Broken :
       {"", "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 0\r\n\r\n", "hello"})
    BOOST_TEST(!fetchFrom({Broken, false}).has_value(), Broken);
}

// Failure: a process sends a head or a body without end.
BOOST_AUTO_TEST_CASE(endless_answers_are_none) {
  const std::string Much(1'000'000, 'x');
  BOOST_TEST(
      !fetchFrom({"HTTP/1.1 200 OK\r\n", true, "X: " + Much}).has_value());
  BOOST_TEST(!fetchFrom({"HTTP/1.1 200 OK\r\n\r\n", true, Much}).has_value());
}

// Failure: a process takes a request and stays silent.
BOOST_AUTO_TEST_CASE(silence_ends_with_the_timeout) {
  BOOST_TEST(!fetchFrom({"HTTP/1.1 200 OK\r\n"}, 50ms).has_value());
}
