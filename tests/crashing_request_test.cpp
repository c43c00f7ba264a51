#define BOOST_TEST_MODULE crashing_request
#include "loopback.h"

#include "platform_adapter.h"
#include "router.h"
#include "standin/platform/endpoint.h"
#include "standin/platform/store.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;
using standin::platform_endpoint;
using standin::platform_store;

namespace {

constexpr auto StoreAddress = "127.0.0.1:17501";
constexpr unsigned Engines = 6;
/// Endpoints that may end under one request before it counts as their cause,
/// and how often it may be sent on after that.
constexpr unsigned CrashesAllowed = 3;
constexpr unsigned SendsAllowed = 3;
constexpr auto Poison = "crashes every engine";

nlohmann::json configuration() {
  return {{"version", 1},
          {"routes",
           {{{"name", "review"},
             {"host", "h.example"},
             {"path_prefix", "/review/"},
             {"kind", "streaming"},
             {"timeout_ms", 5000},
             {"target_latency_ms", 1000},
             {"service", "engine"},
             {"max_attempts", 3},
             {"resumable", true}}}},
          {"services", {{{"name", "engine"}}}},
          {"tenants",
           {{{"name", "t1"}, {"api_keys", {"k1"}}},
            {{"name", "t2"}, {"api_keys", {"k2"}}}}}};
}

std::string entry(const std::string &Address) {
  return nlohmann::json{
      {"service", "engine"},    {"address", Address}, {"zone", "hall-a"},
      {"version", "v1"},        {"slots", 6},         {"state", "ready"},
      {"cold_remaining_ms", 0}, {"sequence", 1}}
      .dump();
}

struct vm {
  vm(boost::asio::io_context &Context, const runtime_clock &Clock,
     unsigned Number, bool HasPeers)
      : CallerPort(static_cast<std::uint16_t>(17510 + 10 * Number)),
        ReadyPort(static_cast<std::uint16_t>(CallerPort + 1)) {
    const auto On = [](unsigned Port) {
      return "127.0.0.1:" + std::to_string(Port);
    };
    router_settings Settings;
    Settings.VmName = "vm" + std::to_string(Number);
    Settings.DataCentre = "hall-a";
    Settings.CallerAddress = On(CallerPort);
    Settings.ReadyAddress = On(ReadyPort);
    Settings.PlatformAddress = StoreAddress;
    Settings.RepeatExtra = 1000;
    if (HasPeers)
      Settings.PeerAddress = On(CallerPort + 2U);
    Relay = std::make_unique<read_relay>(Settings.PeerAddress);
    Platform = std::make_unique<platform_adapter>(Context, Clock, StoreAddress,
                                                  *Relay);
    Router = std::make_unique<router>(Context, Clock, Settings, *Platform,
                                      *Relay, On(CallerPort + 3U));
    Router->start();
  }

  std::uint16_t CallerPort;
  std::uint16_t ReadyPort;
  std::unique_ptr<read_relay> Relay;
  std::unique_ptr<platform_adapter> Platform;
  std::unique_ptr<router> Router;
};

/// Routers, the platform's store and engines that one request crashes.
struct fixture {
  context_thread Thread;
  system_runtime_clock Clock;
  std::unique_ptr<platform_store> Store;
  std::vector<std::unique_ptr<platform_endpoint>> Endpoints;
  std::vector<std::unique_ptr<vm>> Vms;
  unsigned Ids = 0;

  fixture() {
    Thread.run([this] {
      Store = std::make_unique<platform_store>(Thread.Context, StoreAddress);
      for (unsigned Each = 0; Each < Engines; ++Each) {
        const std::string Address = "127.0.0.1:" + std::to_string(17502 + Each);
        standin::endpoint_behaviour Behaviour;
        Behaviour.Id = "e" + std::to_string(Each);
        Behaviour.Events = 3;
        Behaviour.CrashBody = Poison;
        Behaviour.CrashCustomer = "t1";
        Endpoints.push_back(std::make_unique<platform_endpoint>(
            Thread.Context, Address, Behaviour));
        Store->put("keyed.servers", Behaviour.Id, entry(Address));
      }
      Store->put("keyed.op", "config", configuration().dump());
    });
  }
  ~fixture() {
    Thread.run([this] {
      for (const auto &Vm : Vms)
        Vm->Platform->stop();
      Vms.clear();
      Endpoints.clear();
      Store.reset();
    });
  }

  void start(bool HasPeers = true) {
    Thread.run([&] {
      Vms.push_back(std::make_unique<vm>(
          Thread.Context, Clock, static_cast<unsigned>(Vms.size()), HasPeers));
    });
    const std::uint16_t Port = Vms.back()->ReadyPort;
    while (!get(Port, "/api/readiness").starts_with("HTTP/1.1 200"))
      std::this_thread::sleep_for(5ms);
  }
  static std::string get(std::uint16_t Port, const std::string &Path) {
    raw_peer Peer(Port);
    Peer.send("GET " + Path +
              " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    return Peer.readAll();
  }
  std::string ask(std::size_t Vm, const std::string &Body,
                  const std::string &Key = "k1") {
    raw_peer Peer(Vms[Vm]->CallerPort);
    Peer.send("POST /review/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: r" +
              std::to_string(++Ids) + "\r\nX-Key: " + Key +
              "\r\nX-Model: m\r\nX-Deadline-Remaining-Ms: 4000\r\n"
              "Content-Length: " +
              std::to_string(Body.size()) + "\r\nConnection: close\r\n\r\n" +
              Body);
    return Peer.readAll();
  }
  bool isServed(std::size_t Vm, const std::string &Body,
                const std::string &Key = "k1") {
    return ask(Vm, Body, Key).ends_with("0\r\n\r\n");
  }
  unsigned crashes() {
    unsigned Sum = 0;
    Thread.run([&] {
      for (const auto &Endpoint : Endpoints)
        Sum += Endpoint->crashes();
    });
    return Sum;
  }
  /// Until every VM had time to hear of what happened, as the platform bounds
  /// it, or says that it has.
  void settle() {
    for (int Each = 0; Each < 150; ++Each) {
      const bool IsKnown =
          std::all_of(Vms.begin(), Vms.end(), [](const auto &Vm) {
            return get(static_cast<std::uint16_t>(Vm->CallerPort + 3),
                       "/metrics")
                       .find("clementine_requests_quarantined 1") !=
                   std::string::npos;
          });
      if (IsKnown)
        return;
      std::this_thread::sleep_for(20ms);
    }
  }
  void crashThree() {
    for (std::size_t Each = 0; crashes() < CrashesAllowed; ++Each)
      ask(Each % Vms.size(), Poison);
    settle();
  }
};

} // namespace

// A request crashes each endpoint that runs it and comes again at any VM.
BOOST_FIXTURE_TEST_CASE(crashing_request_is_not_sent_on_by_any_vm, fixture) {
  for (int Each = 0; Each < 3; ++Each)
    start();
  crashThree();
  const unsigned Before = crashes();
  for (std::size_t Each = 0; Each < 12; ++Each)
    ask(Each % Vms.size(), Poison);
  BOOST_TEST(crashes() - Before <= SendsAllowed);
  BOOST_TEST(isServed(0, "another body"));
  BOOST_TEST(isServed(0, Poison, "k2"));
}

// A VM starts after endpoints have ended under a request: it has seen none.
BOOST_FIXTURE_TEST_CASE(crashing_request_is_known_to_a_new_vm, fixture) {
  start();
  crashThree();
  const unsigned Before = crashes();
  start(false);
  for (int Each = 0; Each < 4; ++Each)
    ask(1, Poison);
  BOOST_TEST(crashes() - Before <= SendsAllowed);
  BOOST_TEST(isServed(1, "another body"));
}

// Datagrams between VMs are lost: the store alone tells a VM of the request.
BOOST_FIXTURE_TEST_CASE(crashing_request_is_known_without_datagrams, fixture) {
  start(false);
  start(false);
  while (crashes() < CrashesAllowed)
    ask(0, Poison);
  settle();
  const unsigned Before = crashes();
  for (int Each = 0; Each < 4; ++Each)
    ask(1, Poison);
  BOOST_TEST(crashes() - Before <= SendsAllowed);
}
