#pragma once

#include "clock.h"
#include "join_gate.h"
#include "link.h"
#include "membership.h"
#include "settings.h"

#include <atomic>
#include <condition_variable>
#include <cpprest/json.h>
#include <functional>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <string>
#include <thread>
#include <vector>

namespace clementinelane {

/// Runs `membership`: sends and receives its messages, ticks it and polls the
/// platform's list of VMs.
class gossip_runner {
public:
  /// Called with a peer that has a newer configuration and its offset, at most
  /// once per period.
  using newer_offset_handler =
      std::function<void(const std::string &Peer, std::uint64_t Offset)>;

  gossip_runner(const settings &Settings, const runtime_clock &Clock,
                newer_offset_handler OnNewer);
  ~gossip_runner();
  gossip_runner(const gossip_runner &) = delete;
  gossip_runner &operator=(const gossip_runner &) = delete;

  void open();
  /// Stops the threads. Afterwards only calls in flight may still call back.
  void close();
  /// Handles a message of another control process and replies to it.
  void onMessage(std::string_view Body, const link_reply &Reply);
  /// Starts a planned stop: notifies peers and waits until they have propagated
  /// it.
  void leave();

  void setOffset(std::uint64_t Offset);
  /// Publishes an entry with this VM as its source; see `membership::publish`.
  bool publish(entry_kind Kind, std::string Key, std::uint64_t Version,
               std::string Value);
  /// All known entries of one kind.
  std::vector<gossip_entry> entries(entry_kind Kind) const;
  std::vector<peer_info> peers() const;
  /// Whether the result of peers() is complete; see join_gate.
  bool isJoined() const;
  web::json::value membersJson() const;
  /// Metrics in the Prometheus text format.
  std::string metricsText() const;

private:
  void tickLoop();
  void pollVmListLoop();
  void fetchVmList();
  void run(const membership_output &Out);
  void onReply(std::uint64_t Token, const result<std::string> &Reply);
  bool waitUnlessStopped(duration For);

  const settings Settings;
  const runtime_clock &Clock;
  const newer_offset_handler OnNewer;

  prometheus::Registry Registry;
  prometheus::Counter &BytesIn;
  prometheus::Counter &BytesOut;
  prometheus::Counter &Messages;
  prometheus::Counter &Incompatible;
  prometheus::Gauge &Alive;
  prometheus::Gauge &Entries;

  mutable std::mutex Mutex; ///< guards Machine and Gate
  membership Machine;
  join_gate Gate;
  std::mutex StopMutex;
  std::condition_variable StopChanged;
  bool IsStopping = false;
  std::thread Ticker;
  std::thread ListReader;
  link_client Link; ///< last, so that its thread ends before the members it
                    ///< calls are destroyed
};

} // namespace clementinelane
