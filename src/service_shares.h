#pragma once

#include "clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace clementinelane {

/// Identifies requests that share one part of a service's capacity.
struct share_key {
  std::uint32_t Service = 0;  ///< digestHash() of its name
  std::uint32_t Customer = 0; ///< digestHash() of its name; 0: none
  unsigned Priority = 0;      ///< 0 is the most urgent

  friend bool operator<(const share_key &Left, const share_key &Right) {
    return std::tie(Left.Service, Left.Priority, Left.Customer) <
           std::tie(Right.Service, Right.Priority, Right.Customer);
  }
};

/// Requests per second that a VM received, for the load digest.
struct demand_note {
  share_key Key;
  double Offered = 0;
};

/// Attempts per second of a VM at a service, for the load digest.
struct outcome_note {
  std::uint32_t Service = 0;
  double Ran = 0;
  double Rejected = 0; ///< for lack of capacity; not run
};

struct share_notes {
  std::vector<demand_note> Demands;
  std::vector<outcome_note> Outcomes;

  bool empty() const { return Demands.empty() && Outcomes.empty(); }
};

/// Moving average of events per second.
class moving_rate {
public:
  void add(mono_time Now);
  double at(mono_time Now) const;

private:
  double Value = 0;
  mono_time At{};
};

/// Divides the capacity of a service among its customers while it is short.
/// Does no I/O.
///
/// Load: one customer sends many times its usual while endpoints reject
/// requests for lack of capacity. Harm prevented: the requests of the others
/// are rejected in proportion to that customer's load, and endpoints spend
/// their time on rejections. Each VM sums its own rates and its peers' notes,
/// and admits the same part of a customer's requests as all others. Lost and
/// old notes change demand and capacity in the same proportion, so the part
/// holds.
class service_shares {
public:
  /// `Seed` differs between VMs, so that they don't admit in step.
  explicit service_shares(std::uint64_t Seed) : Seed(Seed) {}

  /// A caller's request arrived.
  void recordOffer(const share_key &Key, mono_time Now);
  /// An endpoint ran a request of this VM, whatever its answer.
  void recordRun(std::uint32_t Service, mono_time Now);
  /// An endpoint rejected a request of this VM for lack of capacity.
  void recordRejection(std::uint32_t Service, mono_time Now);

  /// Rates of this VM at services that are short or rejected its requests.
  share_notes ownNotes(mono_time Now) const;
  /// Replaces the notes of another VM.
  void applyPeer(std::string_view Vm, const share_notes &Notes, mono_time Now);
  /// Drops notes older than `Life` and unused entries; call periodically.
  void expire(mono_time Now, duration Life);

  bool isShort(std::uint32_t Service, mono_time Now) const;
  std::size_t countShort() const;
  /// The part of the key's requests that every VM admits, from 0 to 1.
  double admittedPart(const share_key &Key, mono_time Now) const;
  /// Requests per second that this VM may send for the key.
  double admittedRate(const share_key &Key, mono_time Now) const;
  /// When a further request of the key may be sent, at its present rate; none
  /// if not within the averaging time.
  std::optional<mono_time> nextAdmission(const share_key &Key,
                                         mono_time Now) const;
  /// Uses the key's credit if it suffices.
  bool tryAdmit(const share_key &Key, mono_time Now);
  /// Charges a request that is sent ahead of others.
  void admitReturn(const share_key &Key);

private:
  struct demand {
    moving_rate Own;
    double Peers = 0;             ///< sum of the notes
    unsigned Noted = 0;           ///< peers whose notes name it
    double Part = 1;              ///< admitted
    std::optional<double> Credit; ///< none: not used yet
  };
  struct service {
    moving_rate Ran;
    moving_rate Rejected;
    double PeersRan = 0;
    double PeersRejected = 0;
    unsigned Noted = 0;
    bool IsShort = false;
    double Capacity = 0; ///< requests per second of the fleet, while short
    double Headroom = 1; ///< the capacity as a multiple of what ran
    double PeakRan = 0;  ///< falls slowly
    mono_time RefreshedAt{};
  };
  struct peer {
    share_notes Notes;
    mono_time At;
  };
  using demand_map = std::map<share_key, demand>;

  double rateOf(const moving_rate &Rate, mono_time Now) const;
  bool isNoted(const service &Service, mono_time Now) const;
  void addPeer(const share_notes &Notes, int Sign);
  void refresh(std::uint32_t Id, mono_time Now);
  void updateCapacity(service &Service, double Offered, mono_time Now,
                      double Seconds);
  void divide(std::uint32_t Id, double Capacity, mono_time Now);
  demand &demandOf(const share_key &Key);
  double &creditOf(const share_key &Key, demand &Demand) const;
  double initialCredit(const share_key &Key) const;

  std::uint64_t Seed;
  std::optional<mono_time> StartedAt;
  demand_map Demands; ///< those of a service and priority are adjacent
  std::unordered_map<std::uint32_t, service> Services;
  std::map<std::string, peer, std::less<>> Peers;
};

} // namespace clementinelane
