#pragma once

#include "clementinelane/error.h"
#include "clock.h"

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace clementinelane {

/// Log stream of the lease records.
constexpr std::string_view LeaseStream = "leases";

/// A claim, renewal or release of one lease, as stored in the log.
struct lease_record {
  std::string Id; ///< unique
  std::string Name;
  std::string Holder;         ///< VM and incarnation
  std::uint64_t Previous = 0; ///< offset of the last record of this lease that
                              ///< the holder had read, plus one; 0: none
  bool IsRelease = false;
  MSGPACK_DEFINE_MAP(Id, Name, Holder, Previous, IsRelease)
};

std::string encodeLease(const lease_record &Record);
result<lease_record> decodeLease(std::string_view Bytes);

/// One holder's view of one lease that is stored in the log; no I/O.
///
/// A record is valid iff no other record of the lease lies between it and the
/// one that it names as previous. So one of two concurrent claims is valid, and
/// every reader can tell which from the records alone. A claim is appended only
/// when all records read before it are older than the lease duration, counted
/// from when they were read. The holder counts from before it sent the append,
/// which is earlier. So two holders never hold the lease at the same time,
/// without synchronised clocks.
class lease {
public:
  lease(std::string Name, std::string Holder)
      : Name(std::move(Name)), Holder(std::move(Holder)) {}

  /// Applies a record of this lease that was read from the log.
  void recordRead(std::uint64_t Offset, const lease_record &Record,
                  mono_time Now);
  /// The claim or renewal to append now, if one is due. `Rank` is this VM's
  /// position among the possible holders, each of which waits longer to claim;
  /// `MayClaim` is false while the end of the log has not been read.
  std::optional<lease_record> tick(mono_time Now, bool MayClaim,
                                   std::size_t Rank);
  /// The record that releases the lease; empty if it isn't held.
  std::optional<lease_record> release(mono_time Now);

  /// The fencing number, if the lease is still held for at least `MinRemaining`
  /// plus clock drift. Must be checked again right before each action, so that
  /// a process that was paused notices that its lease has expired.
  std::optional<std::uint64_t> fencingNumber(mono_time Now,
                                             duration MinRemaining) const;
  /// Whether another holder came before this one, so that its last order may
  /// still be in flight.
  bool tookOver() const { return TookOver; }
  const std::string &name() const { return Name; }

private:
  lease_record makeRecord(mono_time Now, bool IsRelease);

  std::string Name;
  std::string Holder;
  std::uint64_t Last = 0;       ///< offset of the last record read, plus one
  bool OtherHolderSeen = false; ///< another holder's record was read since this
                                ///< one last held the lease
  std::optional<mono_time> LastReadAt;
  bool Released = false;
  std::optional<mono_time> FreeSince;
  std::map<std::string, mono_time> Sent; ///< own records not yet read, by id
  std::uint64_t Counter = 0;
  std::optional<mono_time> SentAt; ///< of the newest own record
  std::uint64_t Term = 0;
  mono_time ValidUntil{};
  bool TookOver = false;
};

} // namespace clementinelane
