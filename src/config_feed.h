#pragma once

#include "config_follower.h"
#include "config_source.h"
#include "link.h"
#include "log_client.h"
#include "settings.h"
#include "task_group.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace clementinelane {

/// Offset of the configuration in force on a VM, as last reported.
struct member_offset {
  std::string Vm;
  std::string DataCentre;
  std::uint64_t Offset = 0;
  bool IsReachable = true;
  std::string Address;
};

/// Configuration offsets of all members, for `publish --wait`.
class member_offsets {
public:
  virtual ~member_offsets() = default;
  virtual std::vector<member_offset> offsets() const = 0;
};

/// The I/O around config_follower: reads the log, queries peers, and serves the
/// configuration in force to entry and peers.
class config_feed final : public member_offsets {
public:
  config_feed(const settings &Settings, const runtime_clock &Clock,
              append_log &Log, link_client &Link, const peer_source &Peers,
              std::function<void(std::uint64_t)> OnPublished);
  ~config_feed() override;
  config_feed(const config_feed &) = delete;
  config_feed &operator=(const config_feed &) = delete;

  void start();
  /// Ends the threads and waits for running tasks; the link client may be
  /// destroyed after that, before this object is.
  void stop();
  /// Handles the calls "/state" and "/offset"; false for any other path.
  bool onLink(std::string_view Path, std::string_view Body,
              const link_reply &Reply);

  /// Gossip reported a peer with a higher offset.
  void onGossipOffset(const std::string &Address, std::uint64_t Accepted);

  follower_status status() const;
  follower_counts counts() const;
  config_state state() const;
  /// The configuration in force; null until this VM is ready.
  configuration_ptr config() const { return Source.get(); }
  std::optional<change_verdict> verdictOf(const std::string &Id) const;
  /// Queries all peers; waits for at most one call's timeout.
  std::vector<member_offset> offsets() const override;

private:
  void readLog();
  void tick();
  void handle(const follower_input &Input);
  void perform(const follower_action::query_offset &Action);
  void perform(const follower_action::fetch_state &Action);
  void perform(const follower_action::append_snapshot &Action);
  void perform(const follower_action::publish_config &Action);
  void perform(const follower_action::verdict &Action);
  void perform(const follower_action::alarm &Action);
  void replyState(std::uint64_t Known, const link_reply &Reply);
  peer_offset ownOffset() const;
  void pause();

  const settings &Settings;
  const runtime_clock &Clock;
  append_log &Log;
  link_client &Link;
  const peer_source &Peers;
  const std::function<void(std::uint64_t)> OnPublished;
  config_source Source;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  config_follower Follower;
  std::shared_ptr<const std::string> Encoded; ///< the state in force, encoded
  std::uint64_t EncodedOffset = 0;
  std::map<std::string, change_verdict> Verdicts; ///< by change id
  std::deque<std::string> VerdictOrder;
  bool Stopping = false;
  task_group Tasks;
  std::thread Reader;
  std::thread Ticker;
};

} // namespace clementinelane
