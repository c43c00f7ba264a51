#define BOOST_TEST_MODULE router
#include "loopback.h"

#include "config.h"
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
using standin::store_fault;

namespace {

constexpr auto StoreAddress = "127.0.0.1:17431";
constexpr std::uint16_t CallerPort = 17432;
constexpr std::uint16_t ReadyPort = 17433;
constexpr std::uint16_t MetricsPort = 17434;

nlohmann::json configuration(unsigned Version,
                             const std::vector<std::string> &Keys) {
  return {{"version", Version},
          {"routes",
           {{{"name", "review"},
             {"host", "h.example"},
             {"path_prefix", "/review/"},
             {"kind", "streaming"},
             {"timeout_ms", 5000},
             {"target_latency_ms", 1000},
             {"sizes", {"small", "large"}},
             {"service", "engine"},
             {"max_attempts", 3},
             {"resumable", true}},
            {{"name", "booking"},
             {"host", "h.example"},
             {"path_prefix", "/booking/"},
             {"kind", "non_idempotent"},
             {"timeout_ms", 2000},
             {"service", "portal"},
             {"max_attempts", 1}}}},
          {"services", {{{"name", "engine"}}, {{"name", "portal"}}}},
          {"tenants", {{{"name", "t1"}, {"api_keys", Keys}}}}};
}

std::string entry(const std::string &Service, const std::string &Address,
                  const std::string &State = "ready",
                  const std::string &Version = "v1") {
  return nlohmann::json{
      {"service", Service},     {"address", Address}, {"zone", "hall-a"},
      {"version", Version},     {"slots", 6},         {"state", State},
      {"cold_remaining_ms", 0}, {"sequence", 1}}
      .dump();
}

/// A router, the platform's store, two engines and a plain service on loopback.
struct fixture {
  context_thread Thread;
  system_runtime_clock Clock;
  std::unique_ptr<platform_store> Store;
  std::vector<std::unique_ptr<platform_endpoint>> Endpoints;
  read_relay Relay{""};
  tcp_connector Connector{Thread.Context};
  std::unique_ptr<platform_adapter> Platform;
  std::unique_ptr<router> Router;

  fixture() {
    Thread.run([this] {
      Store = std::make_unique<platform_store>(Thread.Context, StoreAddress);
      for (const std::string Id : {"e1", "e2", "p1"}) {
        const std::string Address =
            "127.0.0.1:" + std::to_string(17435 + Endpoints.size());
        standin::endpoint_behaviour Behaviour;
        Behaviour.Id = Id;
        Behaviour.Events = Id == "p1" ? 0 : 5;
        Endpoints.push_back(std::make_unique<platform_endpoint>(
            Thread.Context, Address, Behaviour));
        Store->put("keyed.servers", Id,
                   entry(Id == "p1" ? "portal" : "engine", Address));
      }
      Store->put("keyed.op", "config", configuration(1, {"k1", "k2"}).dump());
      startRouter();
    });
    await([this] { return isReady(); });
  }
  void startRouter() {
    router_settings Settings;
    Settings.VmName = "vm1";
    Settings.DataCentre = "hall-a";
    Settings.CallerAddress = "127.0.0.1:" + std::to_string(CallerPort);
    Settings.ReadyAddress = "127.0.0.1:" + std::to_string(ReadyPort);
    Settings.PlatformAddress = StoreAddress;
    Settings.RetryExtra = 160;
    Platform = std::make_unique<platform_adapter>(Thread.Context, Clock,
                                                  StoreAddress, Relay);
    Router = std::make_unique<router>(
        Thread.Context, Clock, Settings, *Platform, Relay, Connector,
        "127.0.0.1:" + std::to_string(MetricsPort));
    Router->start();
  }
  ~fixture() {
    Thread.run([this] {
      Platform->stop();
      Router.reset();
      Platform.reset();
      Endpoints.clear();
      Store.reset();
    });
  }

  /// Waits until the condition holds; the test's time limit is the timeout.
  template <typename Condition> static void await(Condition Holds) {
    while (!Holds())
      std::this_thread::sleep_for(5ms);
  }
  static std::string get(std::uint16_t Port, const std::string &Path) {
    raw_peer Peer(Port);
    Peer.send("GET " + Path +
              " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    return Peer.readAll();
  }
  static bool isReady() {
    return get(ReadyPort, "/api/readiness").starts_with("HTTP/1.1 200");
  }
  static std::string request(const std::string &Path, const std::string &Id,
                             const std::string &Key = "k1") {
    return "POST " + Path +
           " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + Id +
           "\r\nX-Key: " + Key +
           "\r\nX-Model: *\r\nX-Deadline-Remaining-Ms: 4000\r\n"
           "Content-Length: 2\r\nConnection: close\r\n\r\nhi";
  }
  static std::string call(const std::string &Path, const std::string &Id,
                          const std::string &Key = "k1") {
    raw_peer Peer(CallerPort);
    Peer.send(request(Path, Id, Key));
    return Peer.readAll();
  }
  unsigned runsOf(const std::string &Id) {
    unsigned Runs = 0;
    Thread.run([&] {
      for (const auto &Endpoint : Endpoints)
        if (const auto Found = Endpoint->runs().find(Id);
            Found != Endpoint->runs().end())
          Runs += Found->second;
    });
    return Runs;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(serves_calls_and_streams, fixture) {
  const std::string Booked = call("/booking/1", "b1");
  BOOST_TEST(Booked.starts_with("HTTP/1.1 200"));
  BOOST_TEST(Booked.ends_with("served by p1: hi"));
  BOOST_TEST(Booked.find("X-Instance-Signature: signed-by-p1") !=
             std::string::npos);
  const std::string Streamed = call("/review/1", "r1");
  BOOST_TEST(Streamed.find("id: 5\n") != std::string::npos);
  BOOST_TEST(Streamed.ends_with("0\r\n\r\n"));
  BOOST_TEST(runsOf("b1") == 1U);
}

BOOST_FIXTURE_TEST_CASE(unknown_keys_and_routes_get_401_and_404, fixture) {
  BOOST_TEST(call("/booking/1", "b1", "wrong").starts_with("HTTP/1.1 401"));
  BOOST_TEST(call("/nothing/", "b1").starts_with("HTTP/1.1 404"));
}

// A deadline that isn't a sound number overflows the clock. The request is
// refused before it runs.
BOOST_FIXTURE_TEST_CASE(unsound_deadline_is_refused, fixture) {
  for (const std::string Deadline : {"inf", "nan", "-1", "1e19"}) {
    std::string Text = request("/booking/1", "b1");
    const std::string Sound = "Remaining-Ms: 4000";
    Text.replace(Text.find(Sound), Sound.size(), "Remaining-Ms: " + Deadline);
    raw_peer Peer(CallerPort);
    Peer.send(Text);
    BOOST_TEST(Peer.readAll().starts_with("HTTP/1.1 400"), Deadline);
  }
  BOOST_TEST(runsOf("b1") == 0U);
}

// An engine closes its connection within an event. The caller must still get
// each event exactly once.
BOOST_FIXTURE_TEST_CASE(cut_stream_resumes_elsewhere, fixture) {
  for (int Each = 0; Each < 2; ++Each)
    Thread.run([&] { Endpoints[0]->behaviour().CutAfter = 2; });
  for (int Each = 0; Each < 6; ++Each) {
    const std::string Streamed = call("/review/1", "r" + std::to_string(Each));
    for (int Event = 1; Event <= 5; ++Event) {
      const std::string Line = "id: " + std::to_string(Event) + "\n";
      const std::size_t At = Streamed.find(Line);
      BOOST_TEST(At != std::string::npos);
      BOOST_TEST(Streamed.find(Line, At + 1) == std::string::npos);
    }
    BOOST_TEST(Streamed.ends_with("0\r\n\r\n"));
  }
}

// Another writer overwrites an endpoint's entry and adds one that can't be
// read. Neither names an endpoint, and the other entries still hold.
BOOST_FIXTURE_TEST_CASE(unreadable_entries_leave_the_others, fixture) {
  Thread.run([&] {
    Store->put("keyed.servers", "p1", "\xff{");
    Store->put("keyed.servers", "x1", "[7]");
  });
  await([] { return call("/booking/1", "b1").starts_with("HTTP/1.1 503"); });
  BOOST_TEST(call("/review/1", "r1").ends_with("0\r\n\r\n"));
  Thread.run([&] {
    Store->put("keyed.servers", "p1", entry("portal", "127.0.0.1:17437"));
  });
  await([] { return call("/booking/1", "b2").starts_with("HTTP/1.1 200"); });
  BOOST_TEST(call("/review/1", "r2").ends_with("0\r\n\r\n"));
}

// An operator revokes a customer's key. Requests with it are refused soon
// after; those with the other key are still served.
BOOST_FIXTURE_TEST_CASE(revoked_key_is_refused, fixture) {
  Thread.run([&] {
    Store->put("keyed.op", "config", configuration(3, {"k2"}).dump());
  });
  await([] { return call("/booking/1", "b1").starts_with("HTTP/1.1 401"); });
  BOOST_TEST(call("/booking/1", "b2", "k2").starts_with("HTTP/1.1 200"));
}

// The store returns an older configuration after a restore from backup; it must
// not be applied.
BOOST_FIXTURE_TEST_CASE(older_configuration_is_ignored, fixture) {
  Thread.run([&] {
    Store->put("keyed.op", "config", configuration(5, {"k2"}).dump());
  });
  await([] { return call("/booking/1", "b1").starts_with("HTTP/1.1 401"); });
  Thread.run([&] {
    Store->put("keyed.op", "config", configuration(4, {"k1", "k2"}).dump());
    Store->put("keyed.op", "other", "{}");
  });
  std::this_thread::sleep_for(100ms);
  BOOST_TEST(call("/booking/1", "b2").starts_with("HTTP/1.1 401"));
}

// The store stops responding. Requests are served until the key lease expires,
// then refused as not run, and readiness fails; both recover with the store.
BOOST_FIXTURE_TEST_CASE(silent_store_expires_key_lease, fixture) {
  Thread.run([&] { Store->setFault(store_fault::Silent); });
  BOOST_TEST(call("/booking/1", "b1").starts_with("HTTP/1.1 200"));
  await([] { return !isReady(); });
  const std::string Refused = call("/booking/1", "b2");
  BOOST_TEST(Refused.starts_with("HTTP/1.1 503"));
  BOOST_TEST(Refused.find("Retry-After: ") != std::string::npos);
  BOOST_TEST(runsOf("b2") == 0U);
  Thread.run([&] { Store->setFault(store_fault::None); });
  await([] { return isReady(); });
  BOOST_TEST(call("/booking/1", "b3").starts_with("HTTP/1.1 200"));
}

// The store compacts its history of configuration and endpoints while a key is
// revoked. The router must read
// the current state from the newest records.
BOOST_FIXTURE_TEST_CASE(compacted_history_is_recovered, fixture) {
  Thread.run([&] {
    Store->setFault(store_fault::Reset);
    Store->put("keyed.op", "config", configuration(3, {"k2"}).dump());
    Store->compact("keyed.op");
    Store->compact("keyed.servers");
    Store->setFault(store_fault::None);
  });
  await([] { return call("/booking/1", "b1").starts_with("HTTP/1.1 401"); });
  BOOST_TEST(call("/booking/1", "b2", "k2").starts_with("HTTP/1.1 200"));
}

// Guards against requests sent to an evacuated data centre, and against an
// evacuation that stays in force after the operator has removed it.
BOOST_FIXTURE_TEST_CASE(evacuated_data_centre_is_drained_and_restored,
                        fixture) {
  Thread.run([&] { Store->put("keyed.op", "evacuate/hall-a", "{}"); });
  await([] { return call("/booking/1", "b1").starts_with("HTTP/1.1 503"); });
  const std::string Refused = call("/review/1", "r1");
  BOOST_TEST(Refused.starts_with("HTTP/1.1 503"));
  BOOST_TEST(Refused.find("Retry-After: ") != std::string::npos);
  BOOST_TEST(runsOf("r1") == 0U);
  Thread.run([&] { Store->remove("keyed.op", "evacuate/hall-a"); });
  await([] { return call("/booking/1", "b2").starts_with("HTTP/1.1 200"); });
}

// Guards against missing an evacuation, or its end, if the router learns of it
// from a full list instead of an update.
BOOST_FIXTURE_TEST_CASE(evacuation_list_replaces_earlier_orders, fixture) {
  Thread.run([&] {
    Store->put("keyed.op", "evacuate/hall-a", "not an order");
    Store->compact("keyed.op");
  });
  await([] { return call("/booking/1", "b1").starts_with("HTTP/1.1 503"); });
  Thread.run([&] {
    Store->setFault(store_fault::Reset);
    Store->remove("keyed.op", "evacuate/hall-a");
    Store->compact("keyed.op");
    Store->setFault(store_fault::None);
  });
  await([] { return call("/booking/1", "b2").starts_with("HTTP/1.1 200"); });
}

// A router starts after a roll-out was rolled back. Its order and status are
// both still in the store; the router must not restart it.
BOOST_FIXTURE_TEST_CASE(finished_rollout_is_not_restarted, fixture) {
  const std::string Ended = R"({"state":"rolled_back","target":"v2"})";
  Thread.run([&] {
    Platform->stop();
    Router.reset();
    Platform.reset();
    Store->put("keyed.op", "rollout/engine",
               R"({"service":"engine","target":"v2","duration_s":60})");
    Store->put("keyed.status", "rollout/engine", Ended);
    startRouter();
  });
  await([] { return isReady(); });
  std::this_thread::sleep_for(2s); // longer than the status polling interval
  Thread.run([&] {
    BOOST_TEST(*Store->newest("keyed.status", "rollout/engine") == Ended);
  });
}

// A router starts during a roll-out and is the only participant. It can't know
// the order's age and counts from its first read; it must not treat the order
// as expired and complete the roll-out.
BOOST_FIXTURE_TEST_CASE(listed_rollout_starts_when_read, fixture) {
  Thread.run([&] {
    Platform->stop();
    Router.reset();
    Platform.reset();
    Store->put("keyed.op", "rollout/engine",
               R"({"service":"engine","target":"v2","duration_s":60})");
    startRouter();
  });
  const auto Status = [this] {
    std::string Value;
    Thread.run([&] {
      Value = Store->newest("keyed.status", "rollout/engine").value_or("");
    });
    return Value;
  };
  await([&] { return Status().find("in_progress") != std::string::npos; });
  std::this_thread::sleep_for(2s); // longer than the status polling interval
  BOOST_TEST(Status().find("in_progress") != std::string::npos);
}

// A caller disconnects during its request: the engine's connection must close.
BOOST_FIXTURE_TEST_CASE(caller_disconnect_closes_engine_connection, fixture) {
  Thread.run([&] {
    for (const auto &Endpoint : Endpoints)
      Endpoint->behaviour().Work = 200ms;
  });
  {
    raw_peer Peer(CallerPort);
    Peer.send(request("/review/1", "r1"));
    await([&] { return runsOf("r1") == 1; });
  }
  await([&] {
    unsigned Cancelled = 0;
    Thread.run([&] {
      for (const auto &Endpoint : Endpoints)
        Cancelled += Endpoint->cancelled();
    });
    return Cancelled == 1;
  });
}

// A booking's endpoint is killed before it responds. The booking may have run,
// so it must not be retried or reported as not run.
BOOST_FIXTURE_TEST_CASE(unanswered_non_idempotent_call_is_not_retried,
                        fixture) {
  Thread.run([&] { Endpoints[2]->behaviour().Work = 300ms; });
  raw_peer Peer(CallerPort);
  Peer.send(request("/booking/1", "b1"));
  await([&] { return runsOf("b1") == 1; });
  Thread.run([&] { Endpoints.pop_back(); });
  BOOST_TEST(Peer.readAll().starts_with("HTTP/1.1 502"));
}

BOOST_FIXTURE_TEST_CASE(metrics_are_served, fixture) {
  call("/booking/1", "b1");
  const std::string Page = get(MetricsPort, "/metrics");
  for (const char *Line :
       {"clementine_requests_total{route=\"booking\"} 1",
        "clementine_answers_total{route=\"booking\",outcome=\"served\"} 1",
        "clementine_ready 1", "clementine_request_seconds_bucket",
        "clementine_platform_calls_total{call=\"newest\",result=\"ok\"}"})
    BOOST_TEST(Page.find(Line) != std::string::npos, Line);
}
