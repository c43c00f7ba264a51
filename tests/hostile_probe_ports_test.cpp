#define BOOST_TEST_MODULE hostile_probe_ports
#include "hostile_router.h"

using namespace clementinelane;

namespace {

constexpr std::size_t Callers = 64;
constexpr std::size_t ChunkBytes = 64U << 10U;
constexpr std::size_t EndlessBytes = 16 * Megabyte;

void checkCrowd(router_process &Vm,
                const boost::asio::ip::tcp::endpoint &Address,
                std::size_t Count, caller_script Script,
                bool ReadsAnswers = true) {
  crowd Crowd(Address, Count, std::move(Script), ReadsAnswers);
  checkAnswers(Vm, Crowd);
}

/// A VM whose descriptors a small crowd can take.
struct few_descriptors : router_process {
  few_descriptors() : router_process(400) {}
};

} // namespace

// Bodies that stop short at the port of the load balancer's probes.
BOOST_FIXTURE_TEST_CASE(bodies_at_the_readiness_port, router_process) {
  checkCrowd(*this, ready(), Callers, lengthBody("/", MaxCallerBodyBytes, 7));
}

// Chunks without end at the port of the load balancer's probes.
BOOST_FIXTURE_TEST_CASE(endless_chunks_at_the_readiness_port, router_process) {
  checkCrowd(*this, ready(), Callers,
             chunkedBody("/", EndlessBytes, ChunkBytes));
}

// Idle connections at the port of the load balancer's probes take all
// descriptors.
BOOST_FIXTURE_TEST_CASE(idle_connections_at_the_readiness_port,
                        few_descriptors) {
  checkCrowd(*this, ready(), 600, {"GET ", {}, 0, {}});
}

// Bodies that stop short at the port of the metrics page.
BOOST_FIXTURE_TEST_CASE(bodies_at_the_metrics_port, router_process) {
  checkCrowd(*this, metrics(), Callers,
             lengthBody("/metrics", MaxCallerBodyBytes, 7));
}

// Chunks without end at the port of the metrics page.
BOOST_FIXTURE_TEST_CASE(endless_chunks_at_the_metrics_port, router_process) {
  checkCrowd(*this, metrics(), Callers,
             chunkedBody("/metrics", EndlessBytes, ChunkBytes));
}

// Requests for the metrics page whose answers nobody reads.
BOOST_FIXTURE_TEST_CASE(unread_answers_at_the_metrics_port, router_process) {
  checkCrowd(*this, metrics(), 300,
             {{}, "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n", 200, {}}, false);
}

// Idle connections and unfinished requests at the port of other VMs.
BOOST_FIXTURE_TEST_CASE(unfinished_requests_at_the_port_of_peers,
                        few_descriptors) {
  checkCrowd(*this, peers(), 600, {"CONNECT ", {}, 0, {}});
}

// Bytes without end at the port of other VMs.
BOOST_FIXTURE_TEST_CASE(endless_bytes_at_the_port_of_peers, router_process) {
  checkCrowd(*this, peers(), Callers,
             {"CONNECT 127.66.9.2:17602 HTTP/1.1\r\nHost: e\r\n\r\n",
              std::string(ChunkBytes, 'x'),
              EndlessBytes / ChunkBytes,
              {}});
}
