#define BOOST_TEST_MODULE hostile_connections
#include "hostile_router.h"

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t ManyCallers = 600;

void checkCrowd(router_process &Vm, std::size_t Count, caller_script Script,
                bool ReadsAnswers = true) {
  crowd Crowd(Vm.callers(), Count, std::move(Script), ReadsAnswers);
  checkAnswers(Vm, Crowd);
}

/// A VM whose descriptors a small crowd can take.
struct few_descriptors : router_process {
  few_descriptors() : router_process(400) {}
};

struct slow_service : router_process {
  slow_service() : router_process(DescriptorLimit, 2s) {}
};

} // namespace

// Connections without a request take all descriptors.
BOOST_FIXTURE_TEST_CASE(idle_connections, few_descriptors) {
  checkCrowd(*this, ManyCallers, {});
}

// Heads that never end.
BOOST_FIXTURE_TEST_CASE(unfinished_heads, router_process) {
  checkCrowd(*this, ManyCallers,
             {"POST /lookup/1 HTTP/1.1\r\nHost: h.example\r\n",
              "X-Filler: " + std::string(1000, 'x') + "\r\n",
              15,
              {}});
}

// Large answers that nobody reads.
BOOST_FIXTURE_TEST_CASE(unread_answers, router_process) {
  constexpr std::size_t BodyBytes = 200'000;
  checkCrowd(*this, ManyCallers, lengthBody("/lookup/1", BodyBytes, 0), false);
}

// Further requests on a connection whose answer isn't there yet.
BOOST_FIXTURE_TEST_CASE(pipelined_requests, slow_service) {
  constexpr std::size_t BodyBytes = 32U << 10U;
  const std::string Request = ordinaryRequest(BodyBytes);
  checkCrowd(*this, ManyCallers, {{}, Request, 20, {}}, false);
}

// Requests whose service takes long hold their bodies meanwhile.
BOOST_FIXTURE_TEST_CASE(requests_in_flight, slow_service) {
  constexpr std::size_t BodyBytes = 1 * Megabyte;
  checkCrowd(*this, 150, lengthBody("/lookup/1", BodyBytes, 0));
}
