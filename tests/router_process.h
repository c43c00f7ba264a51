#pragma once

#include "hostile_callers.h"

namespace clementinelane {

/// The router's program with a store and a plain service, on loopback.
struct router_process {
  static constexpr std::string_view Ip = "127.66.1.1";
  static constexpr std::uint16_t CallerPort = 17610;
  static constexpr std::uint16_t ReadyPort = 17611;
  static constexpr std::uint16_t MetricsPort = 17612;
  static constexpr std::uint16_t PeerPort = 17613;
  static constexpr std::size_t MemoryLimitMegabytes = 110;
  static constexpr std::size_t DescriptorLimit = 4100;
  /// Of the memory limit; the rest is the operator's reserve.
  static constexpr std::size_t MaxPeakBytes =
      MemoryLimitMegabytes * Megabyte * 8 / 10;

  /// `Pause`: of the service, before it answers; `Program`: the router's, a
  /// path or a name in the build folder; `Bounds`: more lines of its settings.
  explicit router_process(
      std::size_t Descriptors = DescriptorLimit,
      std::chrono::milliseconds Pause = std::chrono::milliseconds(5),
      std::string_view Program = "clementine_router",
      std::string_view Bounds = {})
      : MaxDescriptors(Descriptors), Bounds(Bounds) {
    reservePorts();
    Store = std::make_unique<child_process>(
        "platform_standin",
        std::vector<std::string>{"--role=store", "--listen=" + StoreText});
    put("keyed.op", "config", Configuration);
    Service = std::make_unique<child_process>(
        "platform_standin",
        std::vector<std::string>{"--role=endpoint", "--listen=127.66.9.2:17602",
                                 "--id=e1", "--service=portal",
                                 "--store=" + StoreText,
                                 "--work_ms=" + std::to_string(Pause.count())});
    const std::string File = Folder.write("vm.toml", settingsText());
    Router = std::make_unique<child_process>(
        Program, std::vector<std::string>{"--settings=" + File,
                                          "--metrics_port=" +
                                              std::to_string(MetricsPort)});
    exchangeUntilServed(ready(), getRequest("/api/readiness"));
    serveOrdinary(16);
  }

  static boost::asio::ip::tcp::endpoint callers() {
    return endpointOf(Ip, CallerPort);
  }
  static boost::asio::ip::tcp::endpoint ready() {
    return endpointOf(Ip, ReadyPort);
  }
  static boost::asio::ip::tcp::endpoint metrics() {
    return endpointOf(Ip, MetricsPort);
  }
  static boost::asio::ip::tcp::endpoint peers() {
    return endpointOf(Ip, PeerPort);
  }

  /// Whether an ordinary caller with a body of `Bytes` is served in the end.
  static bool serveOrdinary(std::size_t Bytes) {
    return exchangeUntilServed(callers(), ordinaryRequest(Bytes))
        .starts_with("HTTP/1.1 200");
  }
  static std::string ordinaryRequest(std::size_t Bytes) {
    return postHead("/lookup/1", "Connection: close\r\nContent-Length: " +
                                     std::to_string(Bytes)) +
           std::string(Bytes, 'o');
  }
  static bool isReady() {
    return exchangeUntilServed(ready(), getRequest("/api/readiness"))
        .starts_with("HTTP/1.1 200");
  }
  static bool showsMetrics() {
    return exchangeUntilServed(metrics(), getRequest("/metrics"))
        .starts_with("HTTP/1.1 200");
  }

  static boost::asio::ip::tcp::endpoint service() {
    return endpointOf("127.66.9.2", 17602);
  }

  const std::size_t MaxDescriptors;
  const std::string Bounds;
  temporary_folder Folder;
  std::unique_ptr<child_process> Store;
  std::unique_ptr<child_process> Service;
  std::unique_ptr<child_process> Router;

private:
  static constexpr std::string_view Configuration =
      R"({"version":1,"routes":[{"name":"lookup","host":"h.example",)"
      R"("path_prefix":"/lookup/","kind":"idempotent","timeout_ms":60000,)"
      R"("target_latency_ms":1000,"service":"portal","max_attempts":2}],)"
      R"("services":[{"name":"portal"}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
      R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
      R"("tenants":[{"name":"shop","api_keys":["key-a"]}]})";
  const std::string StoreText = "127.66.9.1:17601";

  static void put(std::string_view Topic, std::string_view Key,
                  std::string_view Value) {
    exchangeUntilServed(
        endpointOf("127.66.9.1", 17601),
        "POST /standin/put?topic=" + std::string(Topic) +
            "&key=" + std::string(Key) +
            " HTTP/1.1\r\nHost: s\r\nConnection: close\r\nContent-Length: " +
            std::to_string(Value.size()) + "\r\n\r\n" + std::string(Value));
  }

  std::string settingsText() const {
    const std::string Address(Ip);
    return "node_name = \"vm-1\"\nzone = \"hall-a\"\nip_address = \"" +
           Address + "\"\ninternal_port_range = [" + std::to_string(PeerPort) +
           ", " + std::to_string(PeerPort + 2) +
           "]\n[zones]\nhall-a = \"be-central\"\n[listen_addresses]\n"
           "frontend = \"" +
           Address + ":" + std::to_string(CallerPort) + "\"\nready = \"" +
           Address + ":" + std::to_string(ReadyPort) +
           "\"\n[platform]\naddress = \"" + StoreText +
           "\"\n[limits]\nmemory_limit_mb = " +
           std::to_string(MemoryLimitMegabytes) +
           "\nfile_descriptors = " + std::to_string(MaxDescriptors) +
           "\nlink_bandwidth_mbps = 1000.0\n[bounds]\n"
           "retry_budget_extra = 1000\n" +
           Bounds;
  }
};

} // namespace clementinelane
