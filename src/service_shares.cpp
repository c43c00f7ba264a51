#include "service_shares.h"

#include "config.h"
#include "hashing.h"

#include <algorithm>
#include <cmath>
#include <span>

namespace clementinelane {

namespace {

double seconds(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

double addClamped(double Sum, double Value) {
  return std::max(0.0, Sum + Value);
}

/// Demand of one customer within a priority.
struct claim {
  double Offered = 0;
  double *Part = nullptr;
};

double sumOf(std::span<const claim> Claims) {
  double Sum = 0;
  for (const claim &Each : Claims)
    Sum += Each.Offered;
  return Sum;
}

/// Max-min: nobody gets more than it offers, and whoever gets less gets as much
/// as any other. Sorts the claims.
void divideMaxMin(std::span<claim> Claims, double Capacity) {
  std::sort(Claims.begin(), Claims.end(), [](const claim &A, const claim &B) {
    return A.Offered < B.Offered;
  });
  std::size_t Left = Claims.size();
  for (const claim &Each : Claims) {
    const double Granted =
        std::min(Each.Offered, Capacity / static_cast<double>(Left));
    *Each.Part = Each.Offered > 0 ? Granted / Each.Offered : 1;
    Capacity -= Granted;
    --Left;
  }
}

config::headroom_growth growthOf(double RejectedPart, double Capacity,
                                 double PeakRan) {
  if (RejectedPart >= config::CapacityFreePart)
    return {};
  return Capacity < PeakRan * config::LowCapacityPart
             ? config::LowHeadroomGrowth
             : config::FreeHeadroomGrowth;
}

} // namespace

void moving_rate::add(mono_time Now) {
  Value = at(Now) + 1 / seconds(config::ShareRateTime);
  At = std::max(At, Now);
}

double moving_rate::at(mono_time Now) const {
  const double Age = std::max(0.0, seconds(Now - At));
  return Value * std::exp(-Age / seconds(config::ShareRateTime));
}

// A VM that has just started would take its rates, and so the capacity, for
// too low.
double service_shares::rateOf(const moving_rate &Rate, mono_time Now) const {
  const double Age = StartedAt ? std::max(0.0, seconds(Now - *StartedAt)) : 0;
  const double Seen = 1 - std::exp(-Age / seconds(config::ShareRateTime));
  return Rate.at(Now) / std::max(Seen, config::MinRateSeen);
}

service_shares::demand &service_shares::demandOf(const share_key &Key) {
  return Demands[Key];
}

double service_shares::initialCredit(const share_key &Key) const {
  const std::uint64_t Customer =
      (std::uint64_t{Key.Service} << 32U) | Key.Customer;
  const std::uint64_t Hash =
      stableHash(std::to_string(Customer), Seed + Key.Priority);
  return static_cast<double>(Hash >> 11U) / 9007199254740992.0;
}

double &service_shares::creditOf(const share_key &Key, demand &Demand) const {
  if (!Demand.Credit)
    Demand.Credit = initialCredit(Key);
  return *Demand.Credit;
}

void service_shares::recordOffer(const share_key &Key, mono_time Now) {
  demand &Demand = demandOf(Key);
  Demand.Own.add(Now);
  refresh(Key.Service, Now);
  if (Key.Customer == 0 || !isShort(Key.Service, Now))
    return;
  double &Credit = creditOf(Key, Demand);
  Credit = std::min(Credit + Demand.Part, config::MaxShareCredit);
}

void service_shares::recordRun(std::uint32_t Service, mono_time Now) {
  Services[Service].Ran.add(Now);
  refresh(Service, Now);
}

void service_shares::recordRejection(std::uint32_t Service, mono_time Now) {
  Services[Service].Rejected.add(Now);
  refresh(Service, Now);
}

bool service_shares::isNoted(const service &Service, mono_time Now) const {
  return Service.IsShort ||
         rateOf(Service.Rejected, Now) >= config::MinShareNoteRate;
}

share_notes service_shares::ownNotes(mono_time Now) const {
  share_notes Notes;
  for (const auto &[Id, Service] : Services) {
    if (!isNoted(Service, Now))
      continue;
    const outcome_note Note{Id, rateOf(Service.Ran, Now),
                            rateOf(Service.Rejected, Now)};
    if (std::max(Note.Ran, Note.Rejected) >= config::MinShareNoteRate &&
        Notes.Outcomes.size() < config::MaxOutcomeNotes)
      Notes.Outcomes.push_back(Note);
  }
  for (const auto &[Key, Demand] : Demands) {
    const auto Found = Services.find(Key.Service);
    if (Found == Services.end() || !isNoted(Found->second, Now))
      continue;
    if (const double Offered = rateOf(Demand.Own, Now);
        Offered >= config::MinShareNoteRate)
      Notes.Demands.push_back({Key, Offered});
  }
  std::sort(Notes.Demands.begin(), Notes.Demands.end(),
            [](const demand_note &A, const demand_note &B) {
              return A.Offered > B.Offered;
            });
  if (Notes.Demands.size() > config::MaxDemandNotes)
    Notes.Demands.resize(config::MaxDemandNotes);
  return Notes;
}

void service_shares::addPeer(const share_notes &Notes, int Sign) {
  const auto Count = static_cast<unsigned>(Sign);
  for (const demand_note &Note : Notes.Demands) {
    demand &Demand = demandOf(Note.Key);
    Demand.Peers = addClamped(Demand.Peers, Sign * Note.Offered);
    if ((Demand.Noted += Count) == 0)
      Demand.Peers = 0;
  }
  for (const outcome_note &Note : Notes.Outcomes) {
    service &Service = Services[Note.Service];
    Service.PeersRan = addClamped(Service.PeersRan, Sign * Note.Ran);
    Service.PeersRejected =
        addClamped(Service.PeersRejected, Sign * Note.Rejected);
    if ((Service.Noted += Count) == 0)
      Service.PeersRan = Service.PeersRejected = 0;
  }
}

void service_shares::applyPeer(std::string_view Vm, const share_notes &Notes,
                               mono_time Now) {
  const auto Known = Peers.find(Vm);
  if (Known == Peers.end() && Notes.empty())
    return;
  if (Known != Peers.end()) {
    addPeer(Known->second.Notes, -1);
    Known->second = {Notes, Now};
  } else {
    Peers.emplace(std::string(Vm), peer{Notes, Now});
  }
  addPeer(Notes, 1);
  for (const outcome_note &Note : Notes.Outcomes)
    refresh(Note.Service, Now);
}

void service_shares::expire(mono_time Now, duration Life) {
  StartedAt = StartedAt.value_or(Now);
  std::erase_if(Peers, [&](const auto &Each) {
    const auto &[Notes, At] = Each.second;
    if (Now - At < Life && !Notes.empty())
      return false;
    addPeer(Notes, -1);
    return true;
  });
  for (auto &[Id, Service] : Services)
    refresh(Id, Now);
  std::erase_if(Demands, [this, Now](const auto &Each) {
    return Each.second.Noted == 0 &&
           rateOf(Each.second.Own, Now) < config::MinShareRate;
  });
  std::erase_if(Services, [this, Now](const auto &Each) {
    const service &Service = Each.second;
    return !Service.IsShort && Service.Noted == 0 &&
           rateOf(Service.Ran, Now) + rateOf(Service.Rejected, Now) <
               config::MinShareRate;
  });
}

void service_shares::refresh(std::uint32_t Id, mono_time Now) {
  StartedAt = StartedAt.value_or(Now);
  const auto Found = Services.find(Id);
  if (Found == Services.end())
    return;
  service &Service = Found->second;
  const duration Since = Now - Service.RefreshedAt;
  if (Since >= duration::zero() && Since < config::ShareRefreshInterval)
    return;
  // A jump of the clock counts as an ordinary interval.
  const double Seconds = std::clamp(seconds(Since), 0.0, 1.0);
  Service.RefreshedAt = Now;
  double Offered = 0;
  for (auto Each = Demands.lower_bound({Id, 0, 0});
       Each != Demands.end() && Each->first.Service == Id; ++Each)
    Offered += rateOf(Each->second.Own, Now) + Each->second.Peers;
  updateCapacity(Service, Offered, Now, Seconds);
  if (Service.IsShort)
    divide(Id, Service.Capacity, Now);
}

// What ran is the capacity, or less than it if too little was admitted. The
// headroom therefore exceeds 1 by the more, the fewer requests are rejected;
// without rejections it grows further. It is small, as peers learn of
// rejections with a delay. The state is a multiple of what ran, since notes
// that come in or are lost change that and the demand alike.
void service_shares::updateCapacity(service &Service, double Offered,
                                    mono_time Now, double Seconds) {
  const double Ran = rateOf(Service.Ran, Now) + Service.PeersRan;
  const double Rejected = rateOf(Service.Rejected, Now) + Service.PeersRejected;
  const double Part = Ran + Rejected > 0 ? Rejected / (Ran + Rejected) : 0;
  Service.PeakRan = std::max(
      Ran, Service.PeakRan *
               std::exp(-Seconds / seconds(config::CapacityMemoryTime)));
  double &Headroom = Service.Headroom;
  if (!Service.IsShort) {
    Service.IsShort = Part > config::ShortageRejectedPart &&
                      Rejected >= config::ShortageMinRejections;
    Headroom = 1;
  } else {
    const auto [Growth, Bound] =
        growthOf(Part, Ran * Headroom, Service.PeakRan);
    const double Steady = std::max(
        config::MinHeadroom,
        1 + config::HeadroomGain * (config::CapacityRejectedPart - Part));
    Headroom = std::max(Steady, std::min(Bound, Headroom + Growth * Seconds));
    Service.IsShort = Part > config::CapacityRejectedPart ||
                      Ran * Headroom < Offered * config::ShortageEndFactor;
  }
  Service.Capacity = std::max(Ran * Headroom, config::MinSharedCapacity);
}

// The more urgent priorities come first, but leave a small part to the others.
// Requests without a customer are always sent and come off the capacity.
void service_shares::divide(std::uint32_t Id, double Capacity, mono_time Now) {
  std::vector<std::vector<claim>> Levels; // by urgency
  std::optional<unsigned> Priority;
  for (auto Each = Demands.lower_bound({Id, 0, 0});
       Each != Demands.end() && Each->first.Service == Id; ++Each) {
    auto &[Key, Demand] = *Each;
    const double Offered = rateOf(Demand.Own, Now) + Demand.Peers;
    if (Key.Customer == 0) {
      Capacity = std::max(0.0, Capacity - Offered);
      continue;
    }
    if (Priority != Key.Priority)
      Levels.emplace_back();
    Priority = Key.Priority;
    Levels.back().push_back({Offered, &Demand.Part});
  }
  // However many priorities there are, the most urgent one gets half or more.
  const double Guaranteed =
      Capacity *
      std::min(config::GuaranteedPriorityPart,
               0.5 / std::max<double>(1, static_cast<double>(Levels.size())));
  double Reserved = 0;
  for (const auto &Level : Levels)
    Reserved += std::min(sumOf(Level), Guaranteed);
  double Left = Capacity;
  for (auto &Level : Levels) {
    const double Offered = sumOf(Level);
    Reserved -= std::min(Offered, Guaranteed);
    const double Granted = std::clamp(Left - Reserved, 0.0, Offered);
    divideMaxMin(Level, Granted);
    Left -= Granted;
  }
}

bool service_shares::isShort(std::uint32_t Service, mono_time) const {
  const auto Found = Services.find(Service);
  return Found != Services.end() && Found->second.IsShort;
}

std::size_t service_shares::countShort() const {
  return static_cast<std::size_t>(
      std::count_if(Services.begin(), Services.end(),
                    [](const auto &Each) { return Each.second.IsShort; }));
}

double service_shares::admittedPart(const share_key &Key, mono_time Now) const {
  if (Key.Customer == 0 || !isShort(Key.Service, Now))
    return 1;
  const auto Found = Demands.find(Key);
  return Found == Demands.end() ? 1 : Found->second.Part;
}

double service_shares::admittedRate(const share_key &Key, mono_time Now) const {
  const auto Found = Demands.find(Key);
  return Found == Demands.end()
             ? 0
             : rateOf(Found->second.Own, Now) * admittedPart(Key, Now);
}

std::optional<mono_time> service_shares::nextAdmission(const share_key &Key,
                                                       mono_time Now) const {
  if (Key.Customer == 0 || !isShort(Key.Service, Now))
    return Now;
  const double Rate = admittedRate(Key, Now);
  const auto Found = Demands.find(Key);
  if (Found == Demands.end() || Rate <= 0)
    return std::nullopt;
  const double Missing = 1 - Found->second.Credit.value_or(initialCredit(Key));
  const double Wait = std::max(0.0, Missing) / Rate;
  if (Wait > seconds(config::ShareRateTime))
    return std::nullopt;
  return Now + std::chrono::duration_cast<duration>(
                   std::chrono::duration<double>(Wait));
}

bool service_shares::tryAdmit(const share_key &Key, mono_time Now) {
  if (Key.Customer == 0 || !isShort(Key.Service, Now))
    return true;
  double &Credit = creditOf(Key, demandOf(Key));
  if (Credit < 1)
    return false;
  Credit -= 1;
  return true;
}

void service_shares::admitReturn(const share_key &Key) {
  if (Key.Customer == 0)
    return;
  double &Credit = creditOf(Key, demandOf(Key));
  Credit = std::max(Credit - 1, config::MinShareCredit);
}

} // namespace clementinelane
