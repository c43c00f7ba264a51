#pragma once

#include "config.h"
#include "gossip_entry.h"

#include <array>
#include <functional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementinelane {

using sync_buckets = std::array<std::uint64_t, config::SyncBuckets>;

/// The gossip entries that one member knows, and the queue of those still to be
/// propagated. Merging is monotonic: an entry is replaced only by a newer one.
class gossip_store {
public:
  /// Stores `Entry` if it is newer than the known one and, with `Propagate`,
  /// queues it for sending. Returns whether it was newer.
  bool merge(const gossip_entry &Entry, mono_time Now, bool Propagate = true);
  /// Null if unknown.
  const gossip_entry *find(entry_kind Kind, std::string_view Source,
                           std::string_view Key = {}) const;
  void forEach(entry_kind Kind,
               const std::function<void(const gossip_entry &)> &Visit) const;
  std::size_t size() const { return Entries.size(); }
  std::size_t queued() const { return Queue.size(); }

  /// Takes queued entries for one message, newest first, up to `Bytes`.
  /// `IsLocal`: the receiver is in this data centre. `MayRelay`: this member is
  /// a relay, so entries stay queued until other data centres have them too.
  std::vector<gossip_entry> takeQueued(std::size_t Bytes, bool IsLocal,
                                       bool MayRelay, mono_time Now);

  /// Hashes of the entries of hashed kinds, by bucket.
  sync_buckets buckets(mono_time Now) const;
  /// Entries of the buckets that differ from `Theirs`, starting at bucket
  /// `First`, up to `Bytes`.
  std::vector<gossip_entry>
  differingEntries(const std::vector<std::uint64_t> &Theirs, std::size_t First,
                   std::size_t Bytes, mono_time Now) const;
  /// Random entries of kinds that aren't hashed, up to `Bytes`.
  std::vector<gossip_entry> randomEntries(std::size_t Bytes, bool IsLocal,
                                          std::mt19937_64 &Random,
                                          mono_time Now) const;

  /// Drops entries that have reached their maximum age.
  void expire(mono_time Now);
  /// Drops all entries of a source.
  void forget(std::string_view Source);

private:
  struct stored {
    gossip_entry Entry;
    mono_time CreatedAt; ///< publishing time, computed from the age on arrival
  };
  struct queued_entry {
    std::string Id;
    unsigned LocalSent = 0;
    unsigned RemoteSent = 0;
  };

  static std::string idOf(std::uint8_t Kind, std::string_view Source,
                          std::string_view Key);
  static gossip_entry withCurrentAge(const stored &Stored, mono_time Now);
  static bool isPropagated(const stored &Stored, mono_time Now);
  bool appendIfFits(queued_entry &Queued, bool IsLocal, bool IsUrgent,
                    std::size_t &Bytes, mono_time Now,
                    std::vector<gossip_entry> &Out);
  bool isFullySent(const queued_entry &Queued, bool MayRelay) const;

  std::unordered_map<std::string, stored> Entries;
  std::vector<queued_entry> Queue; ///< newest last
};

} // namespace clementinelane
