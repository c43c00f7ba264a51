#pragma once

#include "routers_fixture.h"
#include "tunnel_proxy.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <functional>

namespace clementinelane {

inline constexpr unsigned Engines = 4;
inline constexpr std::array<tunnel_fault, 3> AllFaults{
    tunnel_fault::Killed, tunnel_fault::Reset, tunnel_fault::Silent};
/// Faults that a VM without frames and heartbeats can be told by.
inline constexpr std::array<tunnel_fault, 2> PlainFaults{tunnel_fault::Killed,
                                                         tunnel_fault::Reset};

/// Three VMs, of which the first reaches endpoints only through the others.
struct broken_tunnel_fixture : routers_fixture {
  std::vector<std::unique_ptr<tunnel_proxy>> Proxies; ///< of the other VMs

  broken_tunnel_fixture() : routers_fixture(Engines, {}) {
    Thread.run(
        [this] { Store->put("keyed.op", "config", withPlainRoutes().dump()); });
    for (int Each = 0; Each < 3; ++Each)
      startRouter();
    awaitPeers();
    Thread.run([this] {
      for (std::size_t Vm = 1; Vm < Vms.size(); ++Vm) {
        const auto Port = static_cast<std::uint16_t>(Vms[Vm]->CallerPort + 3U);
        Proxies.push_back(std::make_unique<tunnel_proxy>(Thread.Context, Port));
        Vms[0]->Connector.setProxy(on(Port), Proxies.back()->address());
      }
      Vms[0]->Connector.setLinks(link_state::Refusing, isEngine);
    });
  }
  ~broken_tunnel_fixture() {
    Thread.run([this] { Proxies.clear(); });
  }
  broken_tunnel_fixture(const broken_tunnel_fixture &) = delete;
  broken_tunnel_fixture &operator=(const broken_tunnel_fixture &) = delete;

  /// Two routes without retries by time within their timeouts.
  static nlohmann::json withPlainRoutes() {
    nlohmann::json All = configuration();
    All["version"] = 2;
    nlohmann::json Lookup = All["routes"][0];
    Lookup["name"] = "lookup";
    Lookup["path_prefix"] = "/lookup/";
    Lookup["kind"] = "idempotent";
    Lookup["timeout_ms"] = 3000;
    Lookup["target_latency_ms"] = 3000;
    Lookup["resumable"] = false;
    nlohmann::json Order = Lookup;
    Order["name"] = "order";
    Order["path_prefix"] = "/order/";
    Order["kind"] = "non_idempotent";
    Order["timeout_ms"] = 1000;
    Order["max_attempts"] = 1;
    All["routes"].push_back(Lookup);
    All["routes"].push_back(Order);
    return All;
  }
  static bool isEngine(const std::string &Address) {
    for (unsigned Each = 0; Each < Engines; ++Each)
      if (Address == on(FirstEnginePort + Each))
        return true;
    return false;
  }
  void setAnswers(unsigned Events, std::chrono::milliseconds Work) {
    Thread.run([&] {
      for (const auto &Endpoint : Endpoints) {
        Endpoint->behaviour().Events = Events;
        Endpoint->behaviour().Work = Work;
      }
    });
  }
  void hideFrames() {
    Thread.run([&] {
      for (const auto &Proxy : Proxies)
        Proxy->hideFrames();
    });
  }
  void breakTunnels(tunnel_fault Fault) {
    Thread.run([&] {
      for (const auto &Proxy : Proxies)
        Proxy->apply(Fault);
    });
  }
  /// The VM that holds a tunnel; 0: none.
  std::size_t tunnelHolder() {
    std::size_t Holder = 0;
    Thread.run([&] {
      for (std::size_t Each = 0; Each < Proxies.size(); ++Each)
        if (Proxies[Each]->hasOpenTunnel())
          Holder = Each + 1;
    });
    return Holder;
  }
  std::string plainText(const std::string &Path, const std::string &Body) {
    std::string Text = requestText(Body);
    Text.replace(Text.find("/review/1"), 9, Path);
    return Text;
  }
  unsigned runsOfLast() {
    unsigned Runs = 0;
    const std::string Id = "r" + std::to_string(Ids);
    Thread.run([&] {
      for (const auto &Endpoint : Endpoints)
        if (const auto Found = Endpoint->runs().find(Id);
            Found != Endpoint->runs().end())
          Runs += Found->second;
    });
    return Runs;
  }
  /// A wait that takes longer has failed.
  static constexpr auto WaitLimit = std::chrono::seconds(20);

  void awaitRun() {
    const auto End = std::chrono::steady_clock::now() + WaitLimit;
    while (runsOfLast() == 0) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < End);
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
  void checkNoCrash() {
    BOOST_TEST(hasMetric(0, "clementine_endpoint_crashes_total 0"));
  }
  /// The other VMs aren't avoided any more after a fault.
  void awaitPaths() {
    setAnswers(1, std::chrono::milliseconds(1));
    const auto End = std::chrono::steady_clock::now() + WaitLimit;
    while (!isServed(0, "path" + std::to_string(Ids))) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < End);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  void checkStream(const std::function<void()> &Break) {
    awaitPaths();
    setAnswers(6, std::chrono::milliseconds(50));
    raw_peer Caller(Vms[0]->CallerPort);
    Caller.send(requestText("body"));
    BOOST_REQUIRE(Caller.readThrough("id: 1\n"));
    Break();
    const std::string Rest = Caller.readAll();
    for (unsigned Each = 2; Each <= 6; ++Each) {
      const std::string Id = "id: " + std::to_string(Each) + "\n";
      const auto At = Rest.find(Id);
      BOOST_TEST((At != std::string::npos));
      BOOST_TEST((Rest.find(Id, At + 1) == std::string::npos));
    }
    BOOST_TEST(Rest.ends_with("0\r\n\r\n"));
    checkNoCrash();
  }
  void checkLookup(const std::function<void()> &Break) {
    awaitPaths();
    setAnswers(0, std::chrono::milliseconds(300));
    raw_peer Caller(Vms[0]->CallerPort);
    Caller.send(plainText("/lookup/1", "body"));
    awaitRun();
    Break();
    const std::string Answer = Caller.readAll();
    BOOST_TEST_CONTEXT(Answer) {
      BOOST_TEST(Answer.starts_with("HTTP/1.1 200 "));
      BOOST_TEST(Answer.ends_with(": body"));
    }
    checkNoCrash();
  }
  /// `IsServed`: the order survives; else it ends as one that may have run.
  void checkOrder(const std::function<void()> &Break, bool IsServed) {
    awaitPaths();
    setAnswers(0, std::chrono::milliseconds(300));
    raw_peer Caller(Vms[0]->CallerPort);
    Caller.send(plainText("/order/1", "body"));
    awaitRun();
    Break();
    const std::string Answer = Caller.readAll();
    BOOST_TEST_CONTEXT(Answer.substr(0, Answer.find('\r'))) {
      BOOST_TEST(Answer.starts_with("HTTP/1.1 200 ") == IsServed);
      for (const char *Status : {"429", "503", "408", "421"})
        BOOST_TEST(!Answer.starts_with(std::string("HTTP/1.1 ") + Status));
      BOOST_TEST(Answer.find("X-Not-Executed") == std::string::npos);
    }
    BOOST_TEST(runsOfLast() == 1U);
    checkNoCrash();
  }
  /// Stops the VM that holds the tunnel, as planned.
  void stopHolder() {
    const std::size_t Holder = tunnelHolder();
    BOOST_REQUIRE(Holder > 0U);
    Thread.run([&] { Vms[Holder]->Router->stop(); });
  }
};

} // namespace clementinelane
