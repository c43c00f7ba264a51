#include "rejection_guard.h"

#include "config.h"
#include "hashing.h"
#include "message_pack.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace clementinelane {

namespace {

using json = nlohmann::json;

/// Part of an endpoint's slots that long requests of all VMs use together. The
/// rest absorbs requests that cross on their way.
constexpr double UsableShare = 0.75;
/// Part of the rejection limit that short requests may cause on average, so
/// that chance rarely exceeds it.
constexpr double ExpectedRejectionShare = 0.15;
/// Limits below this count as this; an endpoint that survives none still gets
/// requests.
constexpr double MinRejectionLimit = 0.5;
/// Part of the usable load that is left after a rejection, the least that
/// several leave, and growth per second. Rejections within the interval count
/// as one, since they have one cause.
constexpr double RejectionDecrease = 0.8;
constexpr double MinUsableLoad = 0.2;
constexpr double UsableLoadGrowth = 0.05;
constexpr auto RejectionInterval = std::chrono::milliseconds(300);
/// Part of the usable load for a request that was already rejected.
constexpr double RejectedRequestShare = 0.5;
/// Time without a rejection after which short requests aren't paced any more.
constexpr auto PacingTime = std::chrono::seconds(3);
/// Interval within which the long requests of a VM are counted: the time in
/// which it doesn't see what the others send.
constexpr auto LongInterval = config::DigestInterval;
/// Longer than any interval and pacing of an endpoint.
constexpr auto EndpointTtl = std::chrono::seconds(10);
constexpr double TwoToThe53 = 9007199254740992.0;

double toSeconds(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Probability that a request meets `Slots` busy slots (Erlang's loss formula);
/// `Load`: mean number of requests that would run with unlimited slots.
double lossProbability(unsigned Slots, double Load) {
  double Inverse = 1;
  for (unsigned Each = 1; Each <= Slots; ++Each)
    Inverse = 1 + Inverse * Each / Load;
  return 1 / Inverse;
}

/// The load of an endpoint without a queue at which it rejects `Rejections`
/// requests within the mean time of one request.
double usableLoad(unsigned Slots, double Rejections) {
  // The loss takes a step for each slot; with more slots, a larger part of them
  // is usable.
  constexpr unsigned MaxModelledSlots = 1024;
  if (Slots > MaxModelledSlots)
    return usableLoad(MaxModelledSlots, Rejections) * Slots / MaxModelledSlots;
  constexpr int Steps = 20;
  double Low = 0.01;
  double High = std::max(1U, Slots);
  for (int Each = 0; Each < Steps; ++Each) {
    const double Middle = (Low + High) / 2;
    (Middle * lossProbability(Slots, Middle) < Rejections ? Low : High) =
        Middle;
  }
  return Low;
}

} // namespace

std::string encodeRejections(std::span<const rejection_note> Notes) {
  auto Body = json::array();
  for (const rejection_note &Note : Notes)
    Body.push_back(json::array({Note.Endpoint, Note.Service}));
  std::string Bytes;
  json::to_msgpack(Body, Bytes);
  return Bytes;
}

std::optional<std::vector<rejection_note>>
decodeRejections(std::string_view Bytes) {
  try {
    const json Body = decodeMessagePack(Bytes);
    std::vector<rejection_note> Notes;
    for (const json &Each : Body)
      Notes.push_back(
          {Each.at(0).get<std::uint32_t>(), Each.at(1).get<std::uint32_t>()});
    return Notes;
  } catch (const json::exception &) {
    return std::nullopt; // the caller logs it
  }
}

void rejection_guard::setVmCount(std::size_t Value) {
  VmCount = std::max<std::size_t>(1, Value);
}

bool rejection_guard::recordAnswer(std::uint32_t Service,
                                   std::optional<double> RejectionsPerSecond,
                                   mono_time Now) {
  const auto Found = Services.find(Service);
  if (Found == Services.end() && !RejectionsPerSecond)
    return false;
  const bool IsChange =
      Found == Services.end() || Found->second.Limit != RejectionsPerSecond;
  setLimit(Service, RejectionsPerSecond, Now, true);
  return IsChange;
}

void rejection_guard::applyPeerLimitNote(const rejection_limit_note &Note,
                                         mono_time Now) {
  const mono_time At = Now - Note.Age;
  const auto Found = Services.find(Note.Service);
  if (Found == Services.end() ? !Note.RejectionsPerSecond
                              : At <= Found->second.AnsweredAt)
    return;
  setLimit(Note.Service, Note.RejectionsPerSecond, At, false);
}

void rejection_guard::setLimit(std::uint32_t Service,
                               std::optional<double> Limit, mono_time At,
                               bool IsLocal) {
  service &Entry = Services[Service];
  Entry.Limit = Limit;
  Entry.AnsweredAt = At;
  Entry.IsLocal = IsLocal;
}

bool rejection_guard::isGuarded(std::uint32_t Service) const {
  const auto Found = Services.find(Service);
  return Found != Services.end() && Found->second.Limit;
}

double rejection_guard::limitOf(std::uint32_t Service) const {
  const auto Found = Services.find(Service);
  return std::max(MinRejectionLimit, Found->second.Limit.value_or(0));
}

// Part of the usual load that the endpoint gets after rejections.
double rejection_guard::usablePart(const admission_query &Query,
                                   mono_time Now) const {
  const auto Found = Endpoints.find(Query.Endpoint);
  const double Part =
      Found == Endpoints.end() ? 1 : Found->second.usablePart(Now);
  return Part * (Query.WasRejected ? RejectedRequestShare : 1);
}

double rejection_guard::endpoint::usablePart(mono_time Now) const {
  return std::min(1.0,
                  UsablePart + UsableLoadGrowth * toSeconds(Now - RejectedAt));
}

double rejection_guard::draw(const admission_query &Query,
                             std::int64_t Round) const {
  const std::uint64_t Hash = mixBits(mixBits(Seed ^ Query.Endpoint) ^
                                     static_cast<std::uint64_t>(Round));
  return static_cast<double>(Hash >> 11U) / TwoToThe53;
}

// The intervals of VMs begin at different times.
std::int64_t rejection_guard::intervalOf(mono_time Now) const {
  const duration Length = LongInterval;
  const duration Phase(static_cast<duration::rep>(
      mixBits(Seed) % static_cast<std::uint64_t>(Length.count())));
  return (Now.time_since_epoch() + Phase) / Length;
}

// Each VM claims its even part of the free slots in an interval. What is below
// one is drawn at random, so that VMs don't claim one each at the same moment.
bool rejection_guard::maySendLong(const admission_query &Query, mono_time Now) {
  const double Slots = Query.Slots * usablePart(Query, Now);
  if (Query.AllRunning + 1 > std::max(1.0, UsableShare * Slots))
    return false;
  const std::int64_t Interval = intervalOf(Now);
  const double Free = std::max(1.0, UsableShare * (Slots - Query.AllRunning));
  const double Quota =
      Free / static_cast<double>(VmCount) + draw(Query, Interval);
  const auto Found = Endpoints.find(Query.Endpoint);
  const bool IsSame =
      Found != Endpoints.end() && Found->second.Interval == Interval;
  return (IsSame ? Found->second.Sent : 0) + 1 <= Quota;
}

// Paced only after a rejection, so that a VM with more of a low load than
// others isn't held back. Each VM then has a token bucket of one request for
// each endpoint, which starts at a random level, so that VMs don't send at the
// same moment.
bool rejection_guard::maySendShort(const admission_query &Query,
                                   mono_time Now) {
  const service &Service = Services.find(Query.Service)->second;
  if (Now - Service.RejectedAt >= PacingTime)
    return true;
  endpoint &Endpoint = Endpoints[Query.Endpoint];
  if (Endpoint.RefilledAt < Service.PacedSince) {
    Endpoint.Tokens =
        draw(Query, Service.PacedSince.time_since_epoch().count());
    Endpoint.RefilledAt = Service.PacedSince;
  }
  const double Seconds = std::max(Query.MeanSeconds, config::MinEndpointWait);
  const double Load =
      usablePart(Query, Now) *
      usableLoad(Query.Slots,
                 ExpectedRejectionShare * limitOf(Query.Service) * Seconds);
  Endpoint.Tokens = std::min(
      1.0, Endpoint.Tokens + Load / Seconds / static_cast<double>(VmCount) *
                                 toSeconds(Now - Endpoint.RefilledAt));
  Endpoint.RefilledAt = Now;
  return Endpoint.Tokens >= 1;
}

bool rejection_guard::maySend(const admission_query &Query, mono_time Now) {
  if (!isGuarded(Query.Service))
    return true;
  return Query.IsShort ? maySendShort(Query, Now) : maySendLong(Query, Now);
}

void rejection_guard::recordSend(const admission_query &Query, mono_time Now) {
  if (!isGuarded(Query.Service))
    return;
  endpoint &Endpoint = Endpoints[Query.Endpoint];
  const std::int64_t Interval = intervalOf(Now);
  Endpoint.Sent = Endpoint.Interval == Interval ? Endpoint.Sent + 1 : 1;
  Endpoint.Interval = Interval;
  Endpoint.SentAt = Now;
  Endpoint.Tokens = std::max(0.0, Endpoint.Tokens - 1);
}

void rejection_guard::endpoint::reject(mono_time Now) {
  if (Now - RejectedAt < RejectionInterval)
    return;
  UsablePart = std::max(MinUsableLoad, RejectionDecrease * usablePart(Now));
  RejectedAt = Now;
}

void rejection_guard::recordRejection(const admission_query &Query,
                                      mono_time Now) {
  if (!isGuarded(Query.Service))
    return;
  const rejection_note Note{Query.Endpoint, Query.Service};
  applyPeerRejection(Note, Now);
  Outgoing.push_back(Note);
}

void rejection_guard::applyPeerRejection(const rejection_note &Note,
                                         mono_time Now) {
  Endpoints[Note.Endpoint].reject(Now);
  if (const auto Service = Services.find(Note.Service);
      Service != Services.end()) {
    if (Now - Service->second.RejectedAt >= PacingTime)
      Service->second.PacedSince = Now;
    Service->second.RejectedAt = Now;
  }
}

std::vector<rejection_limit_note>
rejection_guard::ownNotes(mono_time Now) const {
  std::vector<rejection_limit_note> Notes;
  for (const auto &[Service, Entry] : Services)
    if (Entry.IsLocal && Now - Entry.AnsweredAt < config::LimitNoteTtl)
      Notes.push_back({Service, Entry.Limit,
                       std::chrono::ceil<std::chrono::milliseconds>(
                           Now - Entry.AnsweredAt)});
  return Notes;
}

void rejection_guard::expire(mono_time Now) {
  std::erase_if(Services, [Now](const auto &Item) {
    return Now - Item.second.AnsweredAt >=
           (Item.second.Limit ? duration(config::LimitTtl)
                              : duration(config::LimitNoteTtl));
  });
  std::erase_if(Endpoints, [Now](const auto &Item) {
    return Item.second.usablePart(Now) >= 1 &&
           Now - Item.second.SentAt >= EndpointTtl;
  });
}

std::size_t rejection_guard::countGuarded() const {
  return static_cast<std::size_t>(
      std::count_if(Services.begin(), Services.end(),
                    [](const auto &Item) { return !!Item.second.Limit; }));
}

} // namespace clementinelane
