#include "peer_loads.h"

#include "config.h"
#include "hashing.h"
#include "message_pack.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace clementinelane {

namespace {

using json = nlohmann::json;

/// Work is encoded in tenths, as an integer.
constexpr double WorkUnit = 10;
/// Cores are encoded in hundredths.
constexpr double CoresUnit = 100;
/// Minimum field counts of a load, a digest and its lists. Further fields of
/// a digest are optional.
constexpr std::size_t LoadFields = 3;
constexpr std::size_t DigestFields = 4;
constexpr std::size_t ColdFields = 2;
constexpr std::size_t LimitFields = 3;
constexpr std::size_t LeaveFields = 2;
constexpr std::size_t ShareFields = 2;
constexpr std::size_t DemandFields = 4;
constexpr std::size_t OutcomeFields = 3;
/// Rates are encoded in hundredths per second.
constexpr double RateUnit = 100;

json encodeLimits(const std::vector<limit_note> &Limits) {
  auto Body = json::array();
  for (const limit_note &Note : Limits)
    Body.push_back({Note.Endpoint, Note.Age.count(),
                    Note.RequestsPerSecond ? json(*Note.RequestsPerSecond)
                                           : json(nullptr)});
  return Body;
}

/// Returns false if it isn't a list of limits; may throw json::exception.
bool decodeLimits(const json &Body, std::vector<limit_note> &Out) {
  for (const json &Each : Body) {
    if (!Each.is_array() || Each.size() < LimitFields)
      return false;
    limit_note Note;
    Note.Endpoint = Each[0].get<std::uint32_t>();
    Note.Age = std::chrono::milliseconds(Each[1].get<std::uint32_t>());
    if (!Each[2].is_null())
      Note.RequestsPerSecond = std::max(0.0, Each[2].get<double>());
    Out.push_back(Note);
  }
  return true;
}

json encodeRejectionLimits(const std::vector<rejection_limit_note> &Limits) {
  auto Body = json::array();
  for (const rejection_limit_note &Note : Limits)
    Body.push_back({Note.Service, Note.Age.count(),
                    Note.RejectionsPerSecond ? json(*Note.RejectionsPerSecond)
                                             : json(nullptr)});
  return Body;
}

/// Returns false if it isn't a list of limits; may throw json::exception.
bool decodeRejectionLimits(const json &Body,
                           std::vector<rejection_limit_note> &Out) {
  for (const json &Each : Body) {
    if (!Each.is_array() || Each.size() < LimitFields)
      return false;
    rejection_limit_note Note;
    Note.Service = Each[0].get<std::uint32_t>();
    Note.Age = std::chrono::milliseconds(Each[1].get<std::uint32_t>());
    if (!Each[2].is_null())
      Note.RejectionsPerSecond = std::max(0.0, Each[2].get<double>());
    Out.push_back(Note);
  }
  return true;
}

json encodeLeaves(const std::vector<leave_note> &Leaves) {
  auto Body = json::array();
  for (const leave_note &Note : Leaves)
    Body.push_back({Note.Endpoint, Note.Age.count()});
  return Body;
}

/// Returns false if it isn't a list of leaves; may throw json::exception.
bool decodeLeaves(const json &Body, std::vector<leave_note> &Out) {
  for (const json &Each : Body) {
    if (!Each.is_array() || Each.size() < LeaveFields)
      return false;
    Out.push_back({Each[0].get<std::uint32_t>(),
                   std::chrono::milliseconds(Each[1].get<std::uint32_t>())});
  }
  return true;
}

std::uint64_t encodeRate(double PerSecond) {
  return static_cast<std::uint64_t>(std::llround(PerSecond * RateUnit));
}

double decodeRate(const json &Field) {
  return static_cast<double>(Field.get<std::uint32_t>()) / RateUnit;
}

/// An empty list if there are no notes.
json encodeShares(const share_notes &Notes) {
  if (Notes.empty())
    return json::array();
  auto Demands = json::array();
  for (const auto &[Key, Offered] : Notes.Demands)
    Demands.push_back(
        {Key.Service, Key.Customer, Key.Priority, encodeRate(Offered)});
  auto Outcomes = json::array();
  for (const outcome_note &Note : Notes.Outcomes)
    Outcomes.push_back(
        {Note.Service, encodeRate(Note.Ran), encodeRate(Note.Rejected)});
  auto Body = json::array();
  Body.push_back(std::move(Demands));
  Body.push_back(std::move(Outcomes));
  return Body;
}

/// Returns false if they aren't notes; may throw json::exception.
bool decodeShares(const json &Body, share_notes &Out) {
  if (!Body.is_array())
    return false;
  if (Body.empty())
    return true;
  if (Body.size() < ShareFields || !Body[0].is_array() || !Body[1].is_array())
    return false;
  for (const json &Each : Body[0]) {
    if (!Each.is_array() || Each.size() < DemandFields)
      return false;
    Out.Demands.push_back(
        {{Each[0].get<std::uint32_t>(), Each[1].get<std::uint32_t>(),
          Each[2].get<unsigned>()},
         decodeRate(Each[3])});
  }
  for (const json &Each : Body[1]) {
    if (!Each.is_array() || Each.size() < OutcomeFields)
      return false;
    Out.Outcomes.push_back({Each[0].get<std::uint32_t>(), decodeRate(Each[1]),
                            decodeRate(Each[2])});
  }
  return true;
}

} // namespace

std::uint32_t digestHash(std::string_view Id) {
  return static_cast<std::uint32_t>(stableHash(Id));
}

std::string encodeDigest(const load_digest &Digest) {
  auto Loads = json::array();
  for (const endpoint_load &Load : Digest.Loads)
    Loads.push_back({Load.Endpoint,
                     static_cast<std::uint64_t>(Load.Work * WorkUnit),
                     Load.Running});
  auto Cold = json::array();
  for (const cold_note &Note : Digest.Cold)
    Cold.push_back({Note.Endpoint, Note.Remaining.count()});
  const json Body = {Digest.Vm,
                     Digest.Incarnation,
                     Digest.Sequence,
                     std::move(Loads),
                     static_cast<std::uint64_t>(Digest.Cores * CoresUnit),
                     std::move(Cold),
                     encodeLimits(Digest.Limits),
                     Digest.DataCentre,
                     Digest.LostGroups,
                     encodeRejectionLimits(Digest.RejectionLimits),
                     encodeLeaves(Digest.Leaves),
                     encodeShares(Digest.Shares),
                     Digest.ConfigurationVersion};
  std::string Bytes;
  json::to_msgpack(Body, Bytes);
  return Bytes;
}

std::optional<load_digest> decodeDigest(std::string_view Bytes) {
  try {
    const json Body = decodeMessagePack(Bytes);
    if (!Body.is_array() || Body.size() < DigestFields)
      return std::nullopt;
    load_digest Digest;
    Digest.Vm = Body[0].get<std::string>();
    Digest.Incarnation = Body[1].get<std::uint64_t>();
    Digest.Sequence = Body[2].get<std::uint64_t>();
    for (const json &Load : Body[3]) {
      if (!Load.is_array() || Load.size() < LoadFields)
        return std::nullopt;
      Digest.Loads.push_back({Load[0].get<std::uint32_t>(),
                              Load[1].get<double>() / WorkUnit,
                              Load[2].get<unsigned>()});
    }
    if (Body.size() > DigestFields)
      Digest.Cores = Body[DigestFields].get<double>() / CoresUnit;
    if (Body.size() > DigestFields + 1)
      for (const json &Note : Body[DigestFields + 1]) {
        if (!Note.is_array() || Note.size() < ColdFields)
          return std::nullopt;
        Digest.Cold.push_back(
            {Note[0].get<std::uint32_t>(),
             std::chrono::milliseconds(Note[1].get<std::uint32_t>())});
      }
    if (Body.size() > DigestFields + 2 &&
        !decodeLimits(Body[DigestFields + 2], Digest.Limits))
      return std::nullopt;
    if (Body.size() > DigestFields + 3)
      Digest.DataCentre = Body[DigestFields + 3].get<std::string>();
    if (Body.size() > DigestFields + 4)
      Digest.LostGroups =
          Body[DigestFields + 4].get<std::vector<std::uint32_t>>();
    if (Body.size() > DigestFields + 5 &&
        !decodeRejectionLimits(Body[DigestFields + 5], Digest.RejectionLimits))
      return std::nullopt;
    if (Body.size() > DigestFields + 6 &&
        !decodeLeaves(Body[DigestFields + 6], Digest.Leaves))
      return std::nullopt;
    if (Body.size() > DigestFields + 7 &&
        !decodeShares(Body[DigestFields + 7], Digest.Shares))
      return std::nullopt;
    if (Body.size() > DigestFields + 8)
      Digest.ConfigurationVersion = Body[DigestFields + 8].get<std::uint64_t>();
    return Digest;
  } catch (const json::exception &) {
    return std::nullopt; // the caller counts it
  }
}

void peer_loads::addLoads(const load_digest &Digest, int Sign) {
  for (const endpoint_load &Load : Digest.Loads) {
    endpoint_load &Sum = Sums[Load.Endpoint];
    Sum.Endpoint = Load.Endpoint;
    Sum.Work = std::max(0.0, Sum.Work + Sign * Load.Work);
    Sum.Running += static_cast<unsigned>(Sign) * Load.Running;
    if (Sum.Running == 0)
      Sums.erase(Load.Endpoint);
  }
}

void peer_loads::applyDigest(const load_digest &Digest, mono_time Now) {
  const auto Known = Vms.find(Digest.Vm);
  if (Known != Vms.end()) {
    const load_digest &Previous = Known->second.Digest;
    const bool IsOld = Digest.Incarnation < Previous.Incarnation ||
                       (Digest.Incarnation == Previous.Incarnation &&
                        Digest.Sequence <= Previous.Sequence);
    if (IsOld)
      return;
    addLoads(Previous, -1);
  }
  addLoads(Digest, 1);
  Vms.insert_or_assign(Digest.Vm, vm{Digest, Now});
}

void peer_loads::expire(mono_time Now, duration Life) {
  for (auto Each = Vms.begin(); Each != Vms.end();) {
    if (Now - Each->second.At < Life) {
      ++Each;
      continue;
    }
    addLoads(Each->second.Digest, -1);
    Each = Vms.erase(Each);
  }
}

endpoint_load peer_loads::at(std::uint32_t Endpoint) const {
  const auto Found = Sums.find(Endpoint);
  return Found == Sums.end() ? endpoint_load{} : Found->second;
}

} // namespace clementinelane
