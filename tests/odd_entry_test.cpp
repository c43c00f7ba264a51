#define BOOST_TEST_MODULE odd_entry
#include "hostile_callers.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <functional>

using namespace clementinelane;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr unsigned Routers = 2;
constexpr unsigned RequestsPerStart = 10;
/// Calls that two routers may make to list topics, over both starts.
constexpr unsigned MaxListings = 40;
constexpr auto ReadyTimeout = 10s;
constexpr std::string_view StoreIp = "127.67.9.1";
constexpr std::uint16_t StorePort = 17601;
constexpr std::uint16_t ServicePort = 17602;
constexpr std::uint16_t CallerPort = 17610;
constexpr std::uint16_t ReadyPort = 17611;
constexpr std::uint16_t MetricsPort = 17612;
constexpr std::uint16_t PeerPort = 17613;

constexpr std::string_view Configuration =
    R"({"version":1,"routes":[{"name":"lookup","host":"h.example",)"
    R"("path_prefix":"/lookup/","kind":"idempotent","timeout_ms":5000,)"
    R"("target_latency_ms":1000,"service":"portal","max_attempts":2}],)"
    R"("services":[{"name":"portal"}],)"
    R"("tenants":[{"name":"shop","api_keys":["key-a"]}]})";

/// `Key` as the value of a query.
std::string escaped(std::string_view Key) {
  std::ostringstream Text;
  for (const char Byte : Key) {
    Text << '%' << std::hex << std::uppercase;
    Text.width(2);
    Text.fill('0');
    Text << unsigned{static_cast<unsigned char>(Byte)};
  }
  return Text.str();
}

/// The programs of two VMs, three services and the platform's store.
class fleet {
public:
  fleet() {
    reservePorts();
    start(Store, "platform_standin", {"--role=store", "--listen=" + StoreText});
    put("keyed.op", "config", Configuration);
    for (unsigned Each = 1; Each <= Services.size(); ++Each)
      start(Services[Each - 1], "platform_standin",
            {"--role=endpoint", "--listen=" + on(9, Each + 1, ServicePort),
             "--id=e" + std::to_string(Each), "--service=portal",
             "--store=" + StoreText, "--work_ms=1"});
    while (!areServicesRegistered())
      std::this_thread::sleep_for(10ms);
  }

  void put(std::string_view Topic, std::string_view Key,
           std::string_view Value) const {
    control("put?topic=" + std::string(Topic) + "&key=" + escaped(Key), Value);
  }
  /// `Text`: the item of the listing, as it stands.
  void putItem(std::string_view Topic, std::string_view Place,
               std::string_view Text) const {
    control("item?topic=" + std::string(Topic) + "&key=" + escaped(Place),
            Text);
  }
  void setPageSize(unsigned Size) const {
    control("pages?size=" + std::to_string(Size), {});
  }
  unsigned listings() const {
    const std::string Answer =
        exchangeOnce(store(), getRequest("/standin/listings"));
    return static_cast<unsigned>(
        std::stoul(Answer.substr(Answer.find("\r\n\r\n") + 4)));
  }

  /// Kills all routers and starts them again.
  void restartRouters() {
    Vms = {};
    for (unsigned Each = 1; Each <= Routers; ++Each)
      start(Vms[Each - 1], "clementine_router",
            {"--settings=" +
                 Folder.write("vm-" + std::to_string(Each), settingsText(Each)),
             "--metrics_port=" + std::to_string(MetricsPort)});
  }
  /// Number of routers that become ready in time.
  static unsigned countReady() {
    const auto End = std::chrono::steady_clock::now() + ReadyTimeout;
    unsigned Count = 0;
    for (unsigned Each = 1; Each <= Routers; ++Each) {
      const auto IsReady = [Each] {
        return exchangeOnce(endpointOf(ip(1, Each), ReadyPort),
                            getRequest("/api/readiness"))
            .starts_with("HTTP/1.1 200");
      };
      bool Is = IsReady();
      while (!Is && std::chrono::steady_clock::now() < End) {
        std::this_thread::sleep_for(50ms);
        Is = IsReady();
      }
      Count += Is ? 1 : 0;
    }
    return Count;
  }
  /// Number of requests that are served at once.
  static unsigned countServed() {
    unsigned Count = 0;
    for (unsigned Each = 0; Each < Routers * RequestsPerStart; ++Each)
      Count += exchangeOnce(endpointOf(ip(1, 1 + Each % Routers), CallerPort),
                            postHead("/lookup/1", "Connection: close\r\n"
                                                  "Content-Length: 2") +
                                "hi")
                       .starts_with("HTTP/1.1 200")
                   ? 1
                   : 0;
    return Count;
  }

private:
  using process = std::unique_ptr<child_process>;

  static std::string ip(unsigned Net, unsigned Host) {
    return "127.67." + std::to_string(Net) + "." + std::to_string(Host);
  }
  static std::string on(unsigned Net, unsigned Host, unsigned Port) {
    return ip(Net, Host) + ":" + std::to_string(Port);
  }
  static tcp::endpoint store() { return endpointOf(StoreIp, StorePort); }
  static void start(process &Process, std::string_view Program,
                    std::vector<std::string> Arguments) {
    Process = std::make_unique<child_process>(Program, std::move(Arguments));
  }
  bool areServicesRegistered() const {
    for (unsigned Each = 1; Each <= Services.size(); ++Each)
      if (exchangeOnce(store(),
                       getRequest("/standin/newest?topic=keyed.servers&key=e" +
                                  std::to_string(Each)))
              .ends_with("\r\n\r\n"))
        return false;
    return true;
  }
  static void control(const std::string &Call, std::string_view Body) {
    exchangeUntilServed(store(),
                        "POST /standin/" + Call +
                            " HTTP/1.1\r\nHost: s\r\nConnection: close\r\n"
                            "Content-Length: " +
                            std::to_string(Body.size()) + "\r\n\r\n" +
                            std::string(Body));
  }
  std::string settingsText(unsigned Number) const {
    const std::string Ip = ip(1, Number);
    return "node_name = \"vm-" + std::to_string(Number) +
           "\"\nzone = \"hall-a\"\nip_address = \"" + Ip +
           "\"\ninternal_port_range = [" + std::to_string(PeerPort) + ", " +
           std::to_string(PeerPort + 2) +
           "]\n[zones]\nhall-a = \"be-central\"\n[listen_addresses]\n"
           "frontend = \"" +
           on(1, Number, CallerPort) + "\"\nready = \"" +
           on(1, Number, ReadyPort) + "\"\n[platform]\naddress = \"" +
           StoreText +
           "\"\n[limits]\nmemory_limit_mb = 110\nfile_descriptors = 4100\n"
           "link_bandwidth_mbps = 1000.0\n[bounds]\n"
           "retry_budget_extra = 1000\n";
  }

  const std::string StoreText = on(9, 1, StorePort);
  temporary_folder Folder;
  process Store;
  std::array<process, 3> Services;
  std::array<process, Routers> Vms;
};

/// Writes odd entries while all routers run, and starts them anew. All are
/// ready and serve before and after.
void checkServed(const std::function<void(const fleet &)> &WriteOddEntries) {
  fleet Fleet;
  Fleet.restartRouters();
  unsigned Ready = fleet::countReady();
  WriteOddEntries(Fleet);
  unsigned Served = fleet::countServed();
  Fleet.restartRouters();
  Ready += fleet::countReady();
  Served += fleet::countServed();
  BOOST_TEST(Ready == 2 * Routers);
  BOOST_TEST(Served == 2 * RequestsPerStart * Routers);
  BOOST_TEST(Fleet.listings() <= MaxListings);
}

void checkItem(std::string_view Topic, std::string_view Item) {
  checkServed([&](const fleet &Fleet) {
    Fleet.setPageSize(3);
    // Before, among and after the sound keys.
    for (const std::string_view Place : {"!", "d", "e2x", "z"})
      Fleet.putItem(Topic, Place, Item);
  });
}

} // namespace

BOOST_AUTO_TEST_CASE(no_odd_entry) {
  checkServed([](const fleet &) {});
}

// Failure: another writer's keys hold bytes that end a value in a query, on a
// list of several pages, and all processes start anew.
BOOST_AUTO_TEST_CASE(odd_keys_on_many_pages) {
  checkServed([](const fleet &Fleet) {
    const std::vector<std::string> Odd{"&",
                                       "+",
                                       "#",
                                       "%",
                                       " ",
                                       "\"",
                                       "\\",
                                       "a b&c=d#e%41+f",
                                       "\r\n",
                                       "/?",
                                       "=",
                                       std::string(1, '\0'),
                                       "\x7f",
                                       "\xc3\xa9",
                                       std::string(250, '&')};
    for (unsigned Each = 0; Each < 1200; ++Each)
      Fleet.put("keyed.servers",
                Odd[Each % Odd.size()] + std::to_string(Each / Odd.size()),
                R"({"service":7})");
  });
}

// The same, with an odd key at the end of almost each page.
BOOST_AUTO_TEST_CASE(odd_keys_on_short_pages) {
  checkServed([](const fleet &Fleet) {
    Fleet.setPageSize(2);
    for (const std::string_view Key :
         {"&", "+1", "#", "%", " ", "e1&topic=x", "e2+", "e2%", "e2 ", "f#"})
      Fleet.put("keyed.servers", Key, "odd");
  });
}

// Failure: a key's bytes are no UTF-8 and stand in the page as they are.
BOOST_AUTO_TEST_CASE(key_that_is_no_utf8) {
  checkServed([](const fleet &Fleet) {
    Fleet.setPageSize(3);
    for (const std::string_view Key : {"\x80", "e1\xff\xfe", "\xc3(", "e2\xf0"})
      Fleet.put("keyed.servers", Key, "odd");
  });
}

// Failure: the writer of the page replaces such bytes, and the key that it
// names stands elsewhere in the list.
BOOST_AUTO_TEST_CASE(key_with_replaced_bytes) {
  checkServed([](const fleet &Fleet) {
    Fleet.setPageSize(3);
    for (const std::string Place : {"\x80", "d\x80", "e2\xff", "\xff"})
      Fleet.putItem("keyed.servers", Place,
                    R"({"key":")" + Place.substr(0, Place.size() - 1) +
                        "\xef\xbf\xbd" + R"(","value":"b2Rk","offset":1})");
  });
}

// Failure: one item of a page has no key that can be read.
BOOST_AUTO_TEST_CASE(item_without_a_readable_key) {
  for (const std::string_view Item :
       {R"({"key":null,"value":"b2Rk","offset":1})",
        R"({"key":7,"value":"b2Rk","offset":1})",
        R"({"value":"b2Rk","offset":1})",
        R"({"key":"","value":"b2Rk","offset":1})", "null", "[]", "7"})
    BOOST_TEST_CONTEXT(Item)
  checkItem("keyed.servers", Item);
}

// Failure: one item of a page has no offset that can be read.
BOOST_AUTO_TEST_CASE(item_without_a_readable_offset) {
  for (const std::string_view Item :
       {R"({"key":"odd","value":"b2Rk"})",
        R"({"key":"odd","value":"b2Rk","offset":-1})",
        R"({"key":"odd","value":"b2Rk","offset":18446744073709551615})",
        R"({"key":"odd","value":"b2Rk","offset":"1"})"})
    BOOST_TEST_CONTEXT(Item)
  checkItem("keyed.servers", Item);
}

// Failure: the odd item stands among the operator's orders.
BOOST_AUTO_TEST_CASE(odd_item_among_orders) {
  for (const std::string_view Item :
       {"null", R"({"key":"rollout/x","value":"b2Rk"})"})
    BOOST_TEST_CONTEXT(Item)
  checkItem("keyed.op", Item);
}

// Failure: the odd item stands among the registrations of routers.
BOOST_AUTO_TEST_CASE(odd_item_among_routers) {
  checkItem("keyed.routers", "null");
}

// Failure: the newest configuration can't be read. The last one stays in force,
// also once the lease on the customers' keys would have ended.
BOOST_AUTO_TEST_CASE(odd_configuration_leaves_the_last_one) {
  constexpr auto BeyondKeyLease = 6s;
  fleet Fleet;
  Fleet.restartRouters();
  BOOST_TEST(fleet::countReady() == Routers);
  Fleet.put("keyed.op", "config", R"({"version":2,"routes":[null]})");
  std::this_thread::sleep_for(BeyondKeyLease);
  BOOST_TEST(fleet::countReady() == Routers);
  BOOST_TEST(fleet::countServed() == Routers * RequestsPerStart);
}
