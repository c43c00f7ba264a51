#pragma once

#include "clock.h"
#include "peers.h"
#include "usage.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace clementinelane {

/// Message between VMs: records that the receiver is to hold in memory for
/// their owner.
struct usage_hold {
  std::string Owner;
  std::uint64_t Incarnation = 0;
  std::vector<std::string> Holders; ///< VMs that hold these or are asked to
  std::vector<usage_record> Records;
  MSGPACK_DEFINE_MAP(Owner, Incarnation, Holders, Records)
};

/// Message between VMs: these records are in the log and need not be held any
/// longer, or their owner is leaving and its holders are to append its records.
struct usage_release {
  std::string Owner;
  std::uint64_t Incarnation = 0;
  std::vector<std::string> RequestIds;
  bool IsLeaving = false;
  MSGPACK_DEFINE_MAP(Owner, Incarnation, RequestIds, IsLeaving)
};

/// Inputs of a usage store.
namespace usage_event {
struct keep {
  std::uint64_t Ticket;
  usage_record Record;
};
struct appended {
  std::error_code Error;
};
struct hold_replied {
  std::uint64_t Batch;
  std::string Vm;
  std::error_code Error;
};
/// Another VM asks this one to hold its records.
struct hold_requested {
  std::uint64_t Call;
  usage_hold Hold;
};
struct released {
  usage_release Release;
};
struct peers_updated {
  std::vector<peer_info> Peers;
};
struct tick {};
/// The process is about to stop.
struct drain {};
} // namespace usage_event

using usage_input =
    std::variant<usage_event::keep, usage_event::appended,
                 usage_event::hold_replied, usage_event::hold_requested,
                 usage_event::released, usage_event::peers_updated,
                 usage_event::tick, usage_event::drain>;

/// Outputs of a usage store, carried out by its caller.
namespace usage_action {
/// Appends to the log; at most one append is in flight.
struct append {
  std::string Bytes;
};
struct send_hold {
  std::uint64_t Batch;
  peer_info To;
  usage_hold Hold;
};
struct send_release {
  peer_info To;
  usage_release Release;
};
struct kept {
  std::uint64_t Ticket;
  std::error_code Error;
};
struct answer_hold {
  std::uint64_t Call;
  std::error_code Error;
};
struct wake {
  mono_time At;
};
} // namespace usage_action

using usage_output =
    std::variant<usage_action::append, usage_action::send_hold,
                 usage_action::send_release, usage_action::kept,
                 usage_action::answer_hold, usage_action::wake>;

/// Buffers and replicates usage records until they are in the log, without I/O.
/// A record is kept when it is in the log, or in memory on two other VMs (its
/// holders), one of them in another data centre if one can be reached.
///
/// Load: 50,000 usage records a second against a log that takes a few hundred
/// appends a second, and outages of the log. Harm prevented: answers delayed by
/// the log, and usage lost with a VM. Holders make the answer independent of
/// the log. Byte limits keep a long outage from exhausting the VM's memory; at
/// the limit new billable work is refused, since losing usage is worse.
class usage_store {
public:
  explicit usage_store(peer_info Self) : Self(std::move(Self)) {}

  std::vector<usage_output> handle(const usage_input &Event, mono_time Now);

  /// False if new billable work must be refused.
  bool hasRoom(mono_time Now) const;
  /// Whether the process can stop without losing usage: each record is in the
  /// log or has enough holders.
  bool isDrained() const { return UnsafeRecords == 0; }
  std::size_t ownBytes() const { return OwnBytes; }
  std::size_t heldBytes() const { return HeldBytes; }
  std::uint64_t appends() const { return Appends; }

private:
  struct own_record {
    usage_record Record;
    std::size_t Bytes = 0;
    std::optional<std::uint64_t> Ticket; ///< until the result is reported
    bool IsHeld = false;                 ///< by UsageHolders other VMs
    std::set<std::string> Holders;
  };
  struct batch {
    /// Sequence numbers and request ids.
    std::vector<std::pair<std::uint64_t, std::string>> Own;
    std::set<std::string> Tried;
    std::set<std::string> Pending; ///< no reply yet
    std::set<std::string> Held;
  };
  /// Records that this VM holds for one process of another VM.
  struct held_records {
    std::string Owner;
    std::uint64_t Incarnation = 0;
    std::vector<std::string> Holders;
    std::map<std::string, usage_record> Records;
    std::deque<std::pair<mono_time, std::string>> Order; ///< oldest first
    std::size_t Bytes = 0;
    std::optional<mono_time> LeavingSince;
    std::optional<mono_time> LostSince;
  };
  using owner_key = std::pair<std::string, std::uint64_t>;

  void on(const usage_event::keep &Event, mono_time Now);
  void on(const usage_event::appended &Event, mono_time Now);
  void on(const usage_event::hold_replied &Event, mono_time Now);
  void on(const usage_event::hold_requested &Event, mono_time Now);
  void on(const usage_event::released &Event, mono_time Now);
  void on(const usage_event::peers_updated &Event, mono_time Now);
  void on(const usage_event::tick &Event, mono_time Now);
  void on(const usage_event::drain &Event, mono_time Now);

  void advance(mono_time Now);
  void sendBatch(mono_time Now);
  void requestHolders(std::uint64_t Id, batch &Batch, mono_time Now);
  std::vector<peer_info> holderCandidates(mono_time Now) const;
  const peer_info *nextHolder(const batch &Batch, mono_time Now) const;
  bool spansDataCentres(const batch &Batch) const;
  void completeBatch(std::uint64_t Id);
  void releaseAppended(const batch &Batch, const std::string &Vm);
  void answer(own_record &Own, std::error_code Error);
  void expireTickets(mono_time Now);
  void appendRecords(mono_time Now);
  void dropAppended();
  void releaseHolders(const std::map<std::string, usage_release> &ByVm);
  void takeOverLost(mono_time Now);
  bool isTakeoverDue(const held_records &Held, mono_time Now) const;
  void takeOver(usage_record Record);
  void takeOverAll(held_records &Held);
  void takeOverExpired(held_records &Held, mono_time Now);
  void dropLostHolders();
  void resendUnheld(mono_time Now);
  void wakeAt(mono_time At, mono_time Now);
  std::chrono::milliseconds appendInterval() const;
  const peer_info *findPeer(std::string_view Vm) const;
  template <typename T> void emit(T Action) {
    Actions.emplace_back(std::in_place_type<T>, std::move(Action));
  }

  peer_info Self;
  std::vector<peer_info> Peers;
  std::vector<usage_output> Actions;
  std::map<std::uint64_t, own_record> Own; ///< oldest first
  std::uint64_t LastSequence = 0;
  std::size_t OwnBytes = 0;
  std::size_t UnsafeRecords = 0;    ///< own records neither in the log nor held
  std::deque<std::uint64_t> Unsent; ///< not sent to holders yet
  std::optional<mono_time> UnsentSince;
  std::deque<std::pair<mono_time, std::uint64_t>> Tickets;
  std::map<std::uint64_t, batch> Batches;
  std::uint64_t LastBatchId = 0;
  std::map<std::string, mono_time> PausedUntil; ///< holders that failed
  std::map<owner_key, held_records> Held;
  std::size_t HeldBytes = 0;
  std::vector<std::uint64_t> Appending;
  std::uint64_t Appends = 0;
  std::optional<mono_time> LastAppend;
  std::optional<mono_time> Wake;
  bool IsLogDown = false;
  bool IsDraining = false;
};

} // namespace clementinelane
