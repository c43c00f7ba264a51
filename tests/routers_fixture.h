#pragma once

#include "loopback.h"
#include "partitioned_connector.h"

#include "platform_adapter.h"
#include "router.h"
#include "standin/platform/endpoint.h"
#include "standin/platform/store.h"

#include <nlohmann/json.hpp>

namespace clementinelane {

/// The routers of a fleet, the platform's store and engines on loopback.
struct routers_fixture {
  static constexpr auto StoreAddress = "127.0.0.1:17501";
  static constexpr unsigned FirstEnginePort = 17502;
  static constexpr unsigned FirstVmPort = 17520;

  static std::string on(unsigned Port) {
    return "127.0.0.1:" + std::to_string(Port);
  }

  struct vm {
    vm(boost::asio::io_context &Context, const runtime_clock &Clock,
       unsigned Number, bool HasPeers, router_settings Settings)
        : Connector(Context),
          CallerPort(static_cast<std::uint16_t>(FirstVmPort + 10 * Number)),
          ReadyPort(static_cast<std::uint16_t>(CallerPort + 1)),
          MetricsPort(static_cast<std::uint16_t>(CallerPort + 2)) {
      Settings.VmName = "vm" + std::to_string(Number);
      Settings.DataCentre = "hall-a";
      Settings.CallerAddress = on(CallerPort);
      Settings.ReadyAddress = on(ReadyPort);
      Settings.PlatformAddress = StoreAddress;
      Settings.RetryExtra = 1000;
      if (HasPeers)
        Settings.PeerAddress = on(CallerPort + 3U);
      Relay = std::make_unique<read_relay>(Settings.PeerAddress);
      Platform = std::make_unique<platform_adapter>(Context, Clock,
                                                    StoreAddress, *Relay);
      Router = std::make_unique<router>(Context, Clock, Settings, *Platform,
                                        *Relay, Connector, on(MetricsPort));
      Router->start();
    }

    partitioned_connector Connector;
    std::uint16_t CallerPort;
    std::uint16_t ReadyPort;
    std::uint16_t MetricsPort;
    std::unique_ptr<read_relay> Relay;
    std::unique_ptr<platform_adapter> Platform;
    std::unique_ptr<router> Router;
  };

  context_thread Thread;
  system_runtime_clock Clock;
  std::unique_ptr<standin::platform_store> Store;
  std::vector<std::unique_ptr<standin::platform_endpoint>> Endpoints;
  std::vector<std::unique_ptr<vm>> Vms;
  unsigned Ids = 0;

  /// Each engine gets `Behaviour` with an id of its own.
  routers_fixture(unsigned Engines,
                  const standin::endpoint_behaviour &Behaviour) {
    Thread.run([&] {
      Store = std::make_unique<standin::platform_store>(Thread.Context,
                                                        StoreAddress);
      for (unsigned Each = 0; Each < Engines; ++Each) {
        standin::endpoint_behaviour Its = Behaviour;
        Its.Id = "e" + std::to_string(Each);
        const std::string Address = on(FirstEnginePort + Each);
        Store->put("keyed.servers", Its.Id, entry(Address));
        Endpoints.push_back(std::make_unique<standin::platform_endpoint>(
            Thread.Context, Address, std::move(Its)));
        Endpoints.back()->onRestart(
            [this, Address](const std::string &Old, const std::string &New) {
              Store->remove("keyed.servers", Old);
              Store->put("keyed.servers", New, entry(Address));
            });
      }
      Store->put("keyed.op", "config", configuration().dump());
    });
  }
  ~routers_fixture() {
    Thread.run([this] {
      for (const auto &Vm : Vms)
        Vm->Platform->stop();
      Vms.clear();
      Endpoints.clear();
      Store.reset();
    });
  }
  routers_fixture(const routers_fixture &) = delete;
  routers_fixture &operator=(const routers_fixture &) = delete;

  static nlohmann::json configuration() {
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
  static std::string entry(const std::string &Address) {
    return nlohmann::json{
        {"service", "engine"},    {"address", Address}, {"zone", "hall-a"},
        {"version", "v1"},        {"slots", 6},         {"state", "ready"},
        {"cold_remaining_ms", 0}, {"sequence", 1}}
        .dump();
  }

  /// `Settings`: its limits and bounds; names and addresses are set here.
  void startRouter(bool HasPeers = true, const router_settings &Settings = {}) {
    Thread.run([&] {
      Vms.push_back(std::make_unique<vm>(Thread.Context, Clock,
                                         static_cast<unsigned>(Vms.size()),
                                         HasPeers, Settings));
    });
    const std::uint16_t Port = Vms.back()->ReadyPort;
    while (!get(Port, "/api/readiness").starts_with("HTTP/1.1 200"))
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  /// Waits until each VM has received the others' digests.
  void awaitPeers() {
    for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm)
      while (!hasMetric(Vm, "clementine_peers_heard " +
                                std::to_string(Vms.size() - 1)))
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  static std::string get(std::uint16_t Port, const std::string &Path) {
    raw_peer Peer(Port);
    Peer.send("GET " + Path +
              " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    return Peer.readAll();
  }
  /// `Parts`: of its prompt, as ID:TOKENS with commas between; empty: none.
  std::string requestText(const std::string &Body,
                          const std::string &Key = "k1",
                          const std::string &Parts = {}) {
    return "POST /review/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: r" +
           std::to_string(++Ids) + "\r\nX-Key: " + Key +
           "\r\nX-Model: m\r\nX-Deadline-Remaining-Ms: 4000\r\n" +
           (Parts.empty() ? "" : "X-Prompt-Prefix-Hash: " + Parts + "\r\n") +
           "Content-Length: " + std::to_string(Body.size()) +
           "\r\nConnection: close\r\n\r\n" + Body;
  }
  std::string sendRequest(std::size_t Vm, const std::string &Body,
                          const std::string &Key = "k1",
                          const std::string &Parts = {}) {
    raw_peer Peer(Vms[Vm]->CallerPort);
    Peer.send(requestText(Body, Key, Parts));
    return Peer.readAll();
  }
  bool isServed(std::size_t Vm, const std::string &Body,
                const std::string &Key = "k1", const std::string &Parts = {}) {
    return sendRequest(Vm, Body, Key, Parts).ends_with("0\r\n\r\n");
  }
  /// Whether the VM's metrics contain the line.
  bool hasMetric(std::size_t Vm, const std::string &Line) const {
    return get(Vms[Vm]->MetricsPort, "/metrics").find("\n" + Line + "\n") !=
           std::string::npos;
  }
};

} // namespace clementinelane
