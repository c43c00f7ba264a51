#include "return_schedule.h"

#include "config.h"
#include "hashing.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace clementinelane {

namespace {

/// Fraction of the golden ratio: its multiples cover [0, 1) evenly, however
/// many are used.
constexpr double GoldenFraction = 0.6180339887498949;

duration spacingOf(double RatePerSecond) {
  if (!(RatePerSecond > 0)) // also without a number
    return config::MaxReturnSpacing;
  const double Seconds =
      std::min(1 / RatePerSecond,
               std::chrono::duration<double>(config::MaxReturnSpacing).count());
  return std::max<duration>(config::MinReturnSpacing,
                            std::chrono::duration_cast<duration>(
                                std::chrono::duration<double>(Seconds)));
}

/// The first time of the calendar that isn't before `Earliest`.
mono_time nextFree(mono_time Last, duration Spacing, mono_time Earliest) {
  const mono_time Next = Last + Spacing;
  if (Next >= Earliest)
    return Next;
  return Next + (Earliest - Next + Spacing - duration(1)) / Spacing * Spacing;
}

std::uint64_t hashOf(const share_key &Key) {
  return mixBits((std::uint64_t{Key.Service} << 32U | Key.Customer) ^
                 mixBits(Key.Priority));
}

double unitFraction(std::uint64_t Bits) {
  return std::ldexp(static_cast<double>(Bits >> 11U), -53);
}

} // namespace

/// None if there are too many calendars.
mono_time *return_schedule::lastPlanned(const share_key &Key, duration Spacing,
                                        mono_time Now) {
  const std::uint64_t Hash = hashOf(Key);
  if (const auto Known = LastPlanned.find(Hash); Known != LastPlanned.end())
    return &Known->second;
  if (LastPlanned.size() >= config::MaxReturnCalendars)
    return nullptr;
  const auto Phase = std::chrono::duration_cast<duration>(
      Spacing * unitFraction(mixBits(Seed ^ Hash)));
  const mono_time Last = Now + config::MinRetryAfter + Phase - Spacing;
  return &LastPlanned.emplace(Hash, Last).first->second;
}

// Failure: all callers for whom there is no time are told the same instant and
// return together.
duration return_schedule::spreadUnplanned(duration Wait) {
  const duration Least =
      std::clamp<duration>(Wait, config::MinRetryAfter, config::MaxRetryAfter);
  const duration Range =
      std::max<duration>(Least, config::MinUnplannedReturnSpread);
  const double Turn = static_cast<double>(++Unplanned) * GoldenFraction;
  return Least + std::chrono::duration_cast<duration>(
                     Range * (Turn - std::floor(Turn)));
}

// Failure: a caller that retries at once is refused each time, and its plans
// take all times of its customer.
bool return_schedule::hasRoomFor(std::uint64_t Request) const {
  const auto First = ByRequest.lower_bound({Request, mono_time::min()});
  const auto Last = ByRequest.upper_bound({Request, mono_time::max()});
  return static_cast<std::size_t>(std::distance(First, Last)) <
         config::MaxReturnsPerRequest;
}

void return_schedule::add(std::uint64_t Request, mono_time Due) {
  ByRequest.emplace(Request, Due);
  ByDue.emplace(Due, Request);
}

duration return_schedule::plan(const share_key &Key, std::uint64_t Request,
                               double RatePerSecond, duration Longest,
                               mono_time Now) {
  const duration Spacing = spacingOf(RatePerSecond);
  mono_time *Last = lastPlanned(Key, Spacing, Now);
  if (!Last)
    return spreadUnplanned(Spacing);
  const mono_time Due = nextFree(*Last, Spacing, Now + config::MinRetryAfter);
  const duration Wait = Due - Now;
  if (!(RatePerSecond > 0) || Wait > Longest || !hasRoomFor(Request))
    return spreadUnplanned(Wait);
  *Last = Due;
  if (ByRequest.size() < config::MaxPlannedReturns) {
    add(Request, Due);
    Outgoing.emplace(Due, Request);
  }
  return Wait;
}

return_standing return_schedule::standingOf(std::uint64_t Request,
                                            mono_time Now) const {
  const auto Found =
      ByRequest.lower_bound({Request, Now - config::LateReturnTolerance});
  if (Found == ByRequest.end() || Found->first != Request)
    return return_standing::Unplanned;
  return Found->second - config::EarlyReturnTolerance > Now
             ? return_standing::Early
             : return_standing::Due;
}

void return_schedule::finish(std::uint64_t Request) {
  const auto Found = ByRequest.lower_bound({Request, mono_time::min()});
  if (Found == ByRequest.end() || Found->first != Request)
    return;
  const due_request Plan{Found->second, Request};
  ByRequest.erase(Found);
  ByDue.erase(ByDue.find(Plan));
  if (const auto Note = Outgoing.find(Plan); Note != Outgoing.end())
    Outgoing.erase(Note);
}

void return_schedule::applyPeer(const return_note &Note, mono_time Now) {
  if (Note.DueIn > config::MaxReturnSpacing ||
      Note.DueIn < -config::LateReturnTolerance ||
      ByRequest.size() >= config::MaxPlannedReturns ||
      !hasRoomFor(Note.Request))
    return;
  add(Note.Request, Now + Note.DueIn);
}

std::vector<return_note> return_schedule::takeOutgoing(mono_time Now) {
  std::vector<return_note> Notes;
  while (!Outgoing.empty() && Notes.size() < config::MaxReturnNotes) {
    const auto [Due, Request] = *Outgoing.begin();
    Outgoing.erase(Outgoing.begin());
    Notes.push_back(
        {Request,
         std::chrono::duration_cast<std::chrono::milliseconds>(Due - Now)});
  }
  return Notes;
}

std::optional<mono_time> return_schedule::firstOutgoing() const {
  return Outgoing.empty() ? std::nullopt
                          : std::optional(Outgoing.begin()->first);
}

void return_schedule::expire(mono_time Now) {
  const due_request Oldest{Now - config::LateReturnTolerance, 0};
  const auto End = ByDue.lower_bound(Oldest);
  for (auto Plan = ByDue.begin(); Plan != End; Plan = ByDue.erase(Plan))
    ByRequest.erase(ByRequest.find({Plan->second, Plan->first}));
  Outgoing.erase(Outgoing.begin(), Outgoing.lower_bound(Oldest));
  std::erase_if(LastPlanned, [Now](const auto &Calendar) {
    return Calendar.second + config::MaxReturnSpacing < Now;
  });
}

} // namespace clementinelane
