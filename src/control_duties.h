#pragma once

#include "candidate.h"
#include "clock.h"
#include "config_feed.h"
#include "engine_reconciler.h"
#include "lease.h"
#include "link.h"
#include "log_client.h"
#include "peers.h"
#include "rollout_driver.h"
#include "settings.h"
#include "task_group.h"

#include <array>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace clementinelane {

/// The I/O around leases, orders to engines and automatic roll-outs. One
/// lease holder per data centre sends orders to its engines, and one of the
/// whole fleet drives roll-outs.
class control_duties {
public:
  control_duties(const settings &Settings, const runtime_clock &Clock,
                 append_log &Log, config_feed &Feed, const peer_source &Peers);
  ~control_duties();
  control_duties(const control_duties &) = delete;
  control_duties &operator=(const control_duties &) = delete;

  void start();
  /// Ends the threads and releases the leases.
  void stop();
  /// Handles the call "/verdict"; false for any other path.
  bool onLink(std::string_view Path, std::string_view Body,
              const link_reply &Reply);

private:
  static constexpr std::size_t EnginesLease = 0;
  static constexpr std::size_t RolloutsLease = 1;

  void readLeases();
  void readBatch(const log_batch &Batch);
  void tick();
  void renewLeases();
  void applyConfig();
  void appendLease(const lease_record &Record);
  std::size_t claimRank(std::string_view Lease, bool OwnDataCentre) const;
  void perform(const reconcile_action::read_state &Action);
  void perform(const reconcile_action::send_order &Action);
  void perform(const driver_action::halt &Action);
  void perform(const driver_action::release_halt &Action);
  void perform(const driver_action::propose &Action);
  template <typename Machine, typename Input>
  void dispatch(Machine &StateMachine, const Input &Event);
  bool pause(std::chrono::milliseconds For);

  const settings &Settings;
  const runtime_clock &Clock;
  append_log &Log;
  config_feed &Feed;
  const peer_source &Peers;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::array<lease, 2> Leases;
  engine_reconciler Orders;
  rollout_driver Driver;
  std::uint64_t Next = 0; ///< next offset to read of the lease stream
  std::optional<mono_time> CaughtUpAt;
  std::uint64_t ConfigOffset = 0;
  bool Stopping = false;
  task_group Tasks;
  std::thread Reader;
  std::thread Ticker;
};

} // namespace clementinelane
