#define BOOST_TEST_MODULE hostile_bodies
#include "hostile_router.h"

using namespace clementinelane;

namespace {

constexpr std::size_t Callers = 64;
constexpr std::size_t MissingBytes = 7;

void checkCrowd(router_process &Vm, std::size_t Count, caller_script Script) {
  crowd Crowd(Vm.callers(), Count, std::move(Script));
  checkAnswers(Vm, Crowd);
}

} // namespace

// Callers send all of a large body but its last bytes, and stay connected.
BOOST_FIXTURE_TEST_CASE(bodies_that_stop_short, router_process) {
  checkCrowd(*this, Callers,
             lengthBody("/lookup/1", MaxCallerBodyBytes, MissingBytes));
}

// Callers send large bodies without the last chunk, and stay connected.
BOOST_FIXTURE_TEST_CASE(large_chunks_that_stop_short, router_process) {
  constexpr std::size_t ChunkBytes = 64U << 10U;
  checkCrowd(
      *this, Callers,
      chunkedBody("/lookup/1", MaxCallerBodyBytes - ChunkBytes, ChunkBytes));
}

// Callers send chunks of one byte and stay connected.
BOOST_FIXTURE_TEST_CASE(chunks_of_one_byte, router_process) {
  constexpr std::size_t ManyCallers = 400;
  constexpr std::size_t BodyBytes = 50'000;
  checkCrowd(*this, ManyCallers, chunkedBody("/lookup/1", BodyBytes, 1));
}

// Callers announce a large body and send none of it.
BOOST_FIXTURE_TEST_CASE(announced_bodies_that_never_come, router_process) {
  checkCrowd(*this, Callers,
             {postHead("/lookup/1",
                       "Content-Length: " + std::to_string(MaxCallerBodyBytes)),
              {},
              0,
              {}});
}

// A large body inside the limits is served once the crowd is gone.
BOOST_FIXTURE_TEST_CASE(large_body_after_a_crowd, router_process) {
  {
    crowd Crowd(callers(), Callers,
                lengthBody("/lookup/1", MaxCallerBodyBytes, MissingBytes));
    play(Crowd, *Router, router_process::Ip);
  }
  BOOST_TEST(serveOrdinary(MaxCallerBodyBytes));
  BOOST_TEST(Router->isRunning());
}
