#define BOOST_TEST_MODULE hostile_refused_bodies
#include "hostile_router.h"

using namespace clementinelane;

namespace {

constexpr std::size_t Callers = 64;
constexpr std::size_t EndlessBytes = 32 * Megabyte;
constexpr std::size_t ChunkBytes = 64U << 10U;

void checkCrowd(router_process &Vm, caller_script Script) {
  crowd Crowd(Vm.callers(), Callers, std::move(Script));
  checkAnswers(Vm, Crowd);
}

bool isRefused(const std::string &Answer, std::string_view Status) {
  return Answer.starts_with("HTTP/1.1 " + std::string(Status));
}

} // namespace

// Bodies with a key that no customer has are held until they are complete.
BOOST_FIXTURE_TEST_CASE(bodies_with_an_unknown_key, router_process) {
  checkCrowd(*this,
             lengthBody("/lookup/1", MaxCallerBodyBytes, 7, "no-such-key"));
}

// Bodies for a route that isn't there are held until they are complete.
BOOST_FIXTURE_TEST_CASE(bodies_for_an_unknown_route, router_process) {
  checkCrowd(*this, lengthBody("/nowhere/1", MaxCallerBodyBytes, 7));
}

// Bodies over the limit, announced by their length.
BOOST_FIXTURE_TEST_CASE(announced_bodies_over_the_limit, router_process) {
  checkCrowd(*this, lengthBody("/lookup/1", EndlessBytes, 7));
}

// Bodies over the limit in chunks without end.
BOOST_FIXTURE_TEST_CASE(chunks_without_end, router_process) {
  checkCrowd(*this, chunkedBody("/lookup/1", EndlessBytes, ChunkBytes));
}

// What the head decides is answered at its end, before any of the body is
// there: a caller that sends slowly holds nothing.
BOOST_FIXTURE_TEST_CASE(heads_that_are_refused_without_a_body, router_process) {
  const auto Answer = [](std::string_view Target, std::size_t Bytes,
                         std::string_view Key) {
    return exchangeOnce(
        callers(),
        postHead(Target, "Content-Length: " + std::to_string(Bytes), Key));
  };
  BOOST_TEST(isRefused(Answer("/lookup/1", 1000, "no-such-key"), "401"));
  BOOST_TEST(isRefused(Answer("/nowhere/1", 1000, "key-a"), "404"));
  BOOST_TEST(isRefused(Answer("/lookup/1", EndlessBytes, "key-a"), "413"));
}

// A refusal's body after a response to HEAD would be read as the next answer.
BOOST_FIXTURE_TEST_CASE(refused_head_request_gets_no_body, router_process) {
  const std::string Answer =
      exchangeOnce(callers(), "HEAD /nowhere/1 HTTP/1.1\r\nHost: h.example\r\n"
                              "Content-Length: 10\r\n\r\n");
  BOOST_TEST(isRefused(Answer, "404"));
  BOOST_TEST(Answer.ends_with("\r\n\r\n"));
}

// A caller that is refused while it still sends gets the answer, not a reset.
BOOST_FIXTURE_TEST_CASE(answer_reaches_a_caller_that_still_sends,
                        router_process) {
  const std::string Body(MaxCallerBodyBytes, 'x');
  const std::string Head = postHead(
      "/lookup/1", "Content-Length: " + std::to_string(Body.size()), "no-key");
  BOOST_TEST(isRefused(exchangeOnce(callers(), Head + Body), "401"));
}
