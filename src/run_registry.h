#pragma once

#include "clock.h"
#include "session_versions.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// Hashes that identify a session of a service.
struct session_key {
  std::uint32_t Service = 0;
  std::uint64_t Session = 0;
};

/// The last run of a session, as sent between VMs.
struct run_entry {
  session_key Key;
  std::uint32_t Version = 0; ///< hash of the version's name
  std::chrono::milliseconds Age{};
};

enum class run_message_kind : std::uint8_t {
  Update,          ///< runs for the receiver to store
  Acknowledgement, ///< confirms an update
  Query,           ///< asks for the runs of the sessions in its entries
  Answer           ///< the queried runs that the sender knows
};

struct run_message {
  run_message_kind Kind = run_message_kind::Update;
  std::uint64_t SequenceNumber = 0; ///< of the update or query
  bool CoversSessionTtl = false;    ///< the answer can prove a session new
  std::vector<run_entry> Entries;
};

std::string encodeRunMessage(const run_message &Message);
/// Returns none if the bytes are not a valid message.
std::optional<run_message> decodeRunMessage(std::string_view Bytes);

/// Sends messages to other VMs.
class run_transport {
public:
  virtual ~run_transport() = default;
  virtual void sendRunMessage(const std::string &Address,
                              std::string_view Bytes) = 0;
};

/// The runs known to this VM.
class run_records {
public:
  virtual ~run_records() = default;
  virtual std::optional<session_run> lastRun(const session_key &Key,
                                             mono_time Now) const = 0;
  virtual void takeRun(const session_key &Key, const session_run &Run,
                       mono_time Now) = 0;
  /// Whether this VM has received updates for at least the sessions' time to
  /// live, so that a session without a record is new.
  virtual bool coversSessionTtl(mono_time Now) const = 0;
};

/// Replicates the version that a session last ran on to the few VMs that own
/// the session by rendezvous hashing, without I/O.
///
/// Load: hundreds of VMs, any of which may receive a session's next request,
/// and thousands of sessions whose version is withdrawn at once. Harm
/// prevented: broadcasting every session saturates the links, and a VM without
/// the record treats a session as new. Updates go to the owners only and are
/// retransmitted until acknowledged. Other VMs query the owners; a lookup that
/// no owner answers doesn't prove that the session is new.
class run_registry {
public:
  struct lookup_result {
    bool IsAnswered = false; ///< false: no owner answered
    std::optional<session_run> Run;
  };
  using handler = std::function<void(const lookup_result &Found)>;

  run_registry(std::string OwnAddress, run_transport &Transport,
               run_records &Records)
      : OwnAddress(std::move(OwnAddress)), Transport(Transport),
        Records(Records) {}

  /// Sets the addresses of the other VMs that can be reached.
  void setPeers(std::span<const std::string> Addresses);

  /// Queues a run to be sent to the owners of its session.
  void replicate(const session_key &Key, const session_run &Run);
  /// Sends up to config::MaxRunDatagramsPerFlush datagrams of queued runs.
  void flush(mono_time Now);
  /// Finds a session's last run. The handler may be called before this returns.
  void lookUp(const session_key &Key, mono_time Now, handler Handler);
  void receive(const std::string &Sender, const run_message &Message,
               mono_time Now);
  /// Retransmits unacknowledged updates, retries or ends pending lookups, and
  /// flushes the queue.
  void expire(mono_time Now);
  /// When the next pending lookup is to be retried or ended by expire().
  std::optional<mono_time> nextExpiry() const;

  std::size_t unacknowledged() const { return Unacknowledged.size(); }
  /// Runs dropped because the queue was full or an owner never acknowledged
  /// them; one run counts once for each owner.
  std::uint64_t lostUpdates() const { return LostUpdates; }
  /// Lookups that no owner answered in time.
  std::uint64_t unansweredLookups() const { return UnansweredLookups; }

private:
  struct peer {
    std::uint64_t Hash = 0;
    std::string Address;
  };
  struct keyed_run {
    session_key Key;
    session_run Run;
  };
  struct batch {
    std::string Owner;
    std::vector<keyed_run> Runs;
    mono_time SentAt{};
    unsigned SendCount = 0;
  };
  struct pending_lookup {
    session_key Key;
    std::vector<std::string> PendingOwners; ///< those that have not answered
    bool HasCompleteAnswer = false; ///< some answer covers the session TTL
    bool IsAnswered = false;
    bool IsRetried = false;
    std::optional<session_run> Newest;
    mono_time StartedAt{};
    handler Handler;
  };

  std::vector<std::string> ownersOf(const session_key &Key) const;
  void send(std::uint64_t SequenceNumber, batch &Batch, mono_time Now);
  void sendQuery(std::uint64_t SequenceNumber, const pending_lookup &Lookup);
  void answerQuery(const std::string &To, const run_message &Message,
                   mono_time Now);
  void receiveAnswer(const std::string &Sender, const run_message &Message,
                     mono_time Now);
  void finishLookup(std::uint64_t SequenceNumber);
  static void keepNewest(pending_lookup &Lookup, const session_run &Run);

  std::string OwnAddress;
  run_transport &Transport;
  run_records &Records;
  std::vector<peer> Vms; ///< including this VM
  std::map<std::string, std::vector<keyed_run>, std::less<>>
      Queued; ///< by owner's address
  std::size_t QueuedRuns = 0;
  std::map<std::uint64_t, batch> Unacknowledged;
  std::map<std::uint64_t, pending_lookup> Lookups;
  std::uint64_t LastSequenceNumber = 0;
  std::uint64_t LostUpdates = 0;
  std::uint64_t UnansweredLookups = 0;
};

} // namespace clementinelane
