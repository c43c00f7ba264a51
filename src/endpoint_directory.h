#pragma once

#include "clock.h"
#include "endpoint_leaves.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

enum class endpoint_state : std::uint8_t { Ready, Leaving };

/// An endpoint's own registration.
struct endpoint_info {
  std::string Id;
  std::string Service;
  std::string Address; ///< IP address and port
  std::string DataCentre;
  std::string Region;  ///< empty if unknown
  std::string Version; ///< of its software
  unsigned Slots = 1;
  endpoint_state State = endpoint_state::Ready;
  std::chrono::milliseconds ColdFor{0}; ///< remaining cold time
  std::uint64_t Incarnation = 0; ///< changes when it restarts under the same id
};

/// Endpoints known from the platform's service registry.
///
/// Failure: registrations expire while the registry is down, although the
/// endpoints are alive; dropping them would leave no endpoints. Expired entries
/// show up as removals right after an outage. They stay usable for a grace
/// period in which endpoints can register again. Removals at any other time,
/// and endpoints that announce that they are leaving, take effect at once. An
/// endpoint announces it in its entry or, whatever the entry says, in its
/// answers.
///
/// Failure: the registry goes back to an older copy. Its list lacks endpoints
/// that are alive, and has those that left since as ready. After the list of a
/// new era, what was known before holds until an endpoint writes its entry
/// again or restarts: the first stay for the grace period, the others count as
/// leaving. An evacuation whose order was lost stays for a while.
class endpoint_directory {
public:
  /// `Grace`: how long entries that expired in an outage stay after its end.
  explicit endpoint_directory(duration Grace) : Grace(Grace) {}

  /// Applies the newest entry of `Id`; none if it was removed or is malformed.
  void apply(std::string_view Id, std::optional<endpoint_info> Info,
             mono_time Now);
  /// Replaces all entries by a full list, after a gap in the updates.
  void replace(std::vector<endpoint_info> Infos, mono_time Now);
  /// The registry became unreachable, or reachable again.
  void onSourceLost(mono_time Now);
  void onSourceRestored(mono_time Now);
  /// The registry went back to an older copy; the next list and the next
  /// evacuations are what the copy has.
  void onStoreEra(mono_time Now);
  /// Sets the ordered evacuations. Endpoints of evacuated data centres aren't
  /// usable.
  void setEvacuated(std::set<std::string, std::less<>> DataCentres,
                    mono_time Now);
  /// Ends evacuations whose order was lost and not written again in time.
  /// Returns their data centres.
  std::vector<std::string> expireEvacuations(mono_time Now);
  const std::set<std::string, std::less<>> &evacuated() const {
    return Evacuated;
  }
  /// An answer of the endpoint announced that it is leaving. Returns true if
  /// this is news.
  bool recordLeave(std::string_view Id, mono_time Now);
  /// Merges a note from another VM. Returns true if this is news.
  bool applyPeerLeave(const leave_note &Note, mono_time Now) {
    return Leaves.applyPeerNote(Note, Now);
  }
  /// Whether the endpoint's entry or an answer announced that it is leaving.
  bool isLeaving(const endpoint_info &Info) const;
  const endpoint_leaves &leaves() const { return Leaves; }
  /// Drops entries whose grace period has ended, and old leaves. Returns true
  /// if an endpoint may be usable again.
  bool expire(mono_time Now);

  /// Whether a full list has been received.
  bool isSynced() const { return IsSynced; }
  /// Endpoints of `Service` that accept new work.
  std::vector<const endpoint_info *> usable(std::string_view Service) const;
  const endpoint_info *find(std::string_view Id) const;
  /// One that isn't leaving, if there are several.
  const endpoint_info *findByAddress(std::string_view Address) const;
  std::vector<const endpoint_info *> all() const;
  /// All endpoints of a data centre, including those that aren't usable.
  std::vector<const endpoint_info *>
  inDataCentre(std::string_view DataCentre) const;
  std::size_t size() const { return Entries.size(); }

private:
  struct entry {
    endpoint_info Info;
    std::optional<mono_time> KeptUntil;
  };
  struct removal {
    std::uint64_t Incarnation = 0;
    mono_time At{};
  };
  using entries = std::map<std::string, entry, std::less<>>;

  void put(endpoint_info Info);
  bool isNewLife(const endpoint_info &Info) const;
  void removeReplaced(const endpoint_info &By, mono_time Now);
  void remove(entries::iterator Entry, bool IsLapse, mono_time Now);
  bool isLapse(mono_time Now) const;
  entries::iterator erase(entries::iterator Entry, mono_time Now);
  std::optional<std::uint64_t> outdatedUntil(const endpoint_info &Listed) const;

  duration Grace;
  entries Entries;
  std::map<std::string, removal, std::less<>> Removed; ///< lately
  /// Listed endpoints that count as leaving up to this incarnation, until they
  /// write their entries.
  std::map<std::string, std::uint64_t, std::less<>> Outdated;
  endpoint_leaves Leaves;
  std::set<std::string, std::less<>> Evacuated;
  std::map<std::string, mono_time, std::less<>>
      LostEvacuations; ///< and until when they hold
  std::optional<mono_time> SourceRestoredAt;
  bool IsSourceLost = false;
  bool IsSynced = false;
  bool IsRestoredListDue = false;
  bool AreRestoredOrdersDue = false;
};

} // namespace clementinelane
