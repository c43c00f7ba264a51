#pragma once

#include "clock.h"
#include "link.h"
#include "log_client.h"
#include "peers.h"
#include "timers.h"
#include "usage.h"

#include <boost/asio/thread_pool.hpp>
#include <memory>

namespace clementinelane {

/// Log stream for usage; each log record is a list of usage_record.
constexpr std::string_view UsageStream = "usage";
/// Link paths that holders serve.
constexpr std::string_view UsageHoldPath = "/usage/hold";
constexpr std::string_view UsageReleasePath = "/usage/release";

/// Services of the VM that the usage store depends on.
struct usage_links {
  append_log &Log;
  boost::asio::thread_pool &LogCalls;
  const runtime_clock &Clock;
  timer_service &Timers;
  link_client &Link;
  const peer_source &Peers;
};

struct usage_counters {
  std::uint64_t Appends = 0;
  std::size_t OwnBytes = 0;
  std::size_t HeldBytes = 0; ///< for other VMs
};

/// Runs the usage store of one VM: performs its I/O and timers.
class log_usage_service final : public usage_service {
public:
  log_usage_service(const usage_links &Links, peer_info Self);
  ~log_usage_service() override;

  bool hasRoom() const override;
  void keep(const usage_record &Record,
            std::function<void(std::error_code)> Done) override;
  /// Handles another VM's call to UsageHoldPath or UsageReleasePath.
  void serve(std::string_view Path, std::string_view Body, link_reply Reply);
  /// Tells holders to append the records that aren't in the log yet; the caller
  /// then polls isDrained().
  void drain();
  bool isDrained() const;
  usage_counters counters() const;

private:
  class host;
  std::shared_ptr<host> Host;
};

} // namespace clementinelane
