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

/// The stream that holds usage; each record is a list of usage_record.
constexpr std::string_view UsageStream = "usage";
/// The link paths of holders.
constexpr std::string_view UsageHoldPath = "/usage/hold";
constexpr std::string_view UsageReleasePath = "/usage/release";

/// What the usage store of a VM needs of it.
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

/// Runs the usage store of one VM.
class log_usage_service final : public usage_service {
public:
  log_usage_service(const usage_links &Links, peer_info Self);
  ~log_usage_service() override;

  bool hasRoom() const override;
  void keep(const usage_record &Record,
            std::function<void(std::error_code)> Done) override;
  /// Answers another VM's call of UsageHoldPath or UsageReleasePath.
  void serve(std::string_view Path, std::string_view Body, link_reply Reply);
  /// Hands on what the log doesn't have; to be asked until isDrained().
  void drain();
  bool isDrained() const;
  usage_counters counters() const;

private:
  class host;
  std::shared_ptr<host> Host;
};

} // namespace clementinelane
