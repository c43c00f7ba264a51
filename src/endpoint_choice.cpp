#include "endpoint_choice.h"

#include "config.h"
#include "hashing.h"

#include <algorithm>
#include <iterator>

namespace clementinelane {

namespace {

/// Endpoints that need a peer are candidates if less than this part of a
/// service is directly reachable: less than one of six data centres. A VM whose
/// data centre is cut off from the others stays with its own endpoints, since
/// its peers are cut off as well.
constexpr double MinDirectShare = 0.15;
/// Endpoint groups per digest.
constexpr std::size_t MaxDigestGroups = 64;

/// Bounds a log line.
constexpr std::size_t MaxDescribedPauses = 4;

double seconds(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

void updateAverage(double &Mean, double Value) {
  Mean += config::EndpointAverageWeight * (Value - Mean);
}

} // namespace

std::uint64_t endpoint_choice::random() {
  // splitmix64; need not be cryptographically secure.
  return mixBits(Random += 0x9e3779b97f4a7c15ULL);
}

endpoint_choice::state &endpoint_choice::stateOf(const endpoint_info &Info) {
  state &State = States[Info.Id];
  // Failure: an endpoint restarts under the same id and is avoided, or taken to
  // be busy, because of its previous incarnation.
  if (State.IdHash != 0 && State.Incarnation == Info.Incarnation)
    return State;
  if (State.IdHash != 0) {
    Limits.forget(State.DigestHash);
    Pauses.forget(State.DigestHash);
  }
  State = state{};
  Reach.forget(Info.Id);
  State.Incarnation = Info.Incarnation;
  State.IdHash = stableHash(Info.Id);
  State.DigestHash = digestHash(Info.Id);
  return State;
}

endpoint_choice::candidates
endpoint_choice::candidatesFor(const endpoint_request &Request, mono_time Now) {
  candidates Found;
  for (const endpoint_info *Info : Directory.usable(Request.Service)) {
    const bool IsExcluded =
        std::find(Request.Excluded.begin(), Request.Excluded.end(), Info->Id) !=
        Request.Excluded.end();
    if (IsExcluded || (Request.IsAllowed && !Request.IsAllowed(*Info)))
      continue;
    state &State = stateOf(*Info);
    if (!State.IsReplaced && isAdmitted(*Info, State, Request, Now))
      Found.emplace_back(Info, &State);
  }
  return Found;
}

admission_query
endpoint_choice::admissionQuery(const endpoint_info &Endpoint,
                                const state &State,
                                const endpoint_request &Request) const {
  admission_query Query;
  Query.Endpoint = State.DigestHash;
  Query.Service = digestHash(Endpoint.Service);
  Query.Slots = Endpoint.Slots;
  Query.AllRunning = State.Running + Peers.at(State.DigestHash).Running;
  Query.IsShort = Request.Model.empty();
  Query.MeanSeconds = State.MeanFirstByte;
  Query.WasRejected = Request.WasRejected;
  return Query;
}

bool endpoint_choice::isAdmitted(const endpoint_info &Endpoint,
                                 const state &State,
                                 const endpoint_request &Request,
                                 mono_time Now) {
  return !Pauses.isPaused(State.DigestHash, Now) &&
         Limits.maySend(State.DigestHash, Now) &&
         SlowStart.maySend(State.DigestHash, Request.Service, Now) &&
         (Guard.countGuarded() == 0 ||
          Guard.maySend(admissionQuery(Endpoint, State, Request), Now));
}

// Load: part of the endpoints is unreachable, in the worst case all of them.
// Endpoints that this VM can't connect to are excluded, however many they are,
// as long as enough others are left. Otherwise those that a peer may reach are
// candidates too: a VM with a path to a few endpoints alone would overload
// them. As a last resort all are tried directly.
endpoint_choice::candidates
endpoint_choice::withPath(const candidates &All,
                          const endpoint_request &Request,
                          mono_time Now) const {
  candidates Found;
  for (const auto &Candidate : All)
    if (!needsPeer(*Candidate.first, Request))
      Found.push_back(Candidate);
  if (static_cast<double>(Found.size()) >=
      MinDirectShare * static_cast<double>(All.size()))
    return Found;
  for (const auto &Candidate : All)
    if (needsPeer(*Candidate.first, Request) &&
        Paths.hasPeerFor(*Candidate.first, Now))
      Found.push_back(Candidate);
  if (!Found.empty())
    return Found;
  const auto IsUntried = [&Request](const auto &Candidate) {
    return std::find(Request.Unconnected.begin(), Request.Unconnected.end(),
                     Candidate.first->Id) == Request.Unconnected.end();
  };
  std::copy_if(All.begin(), All.end(), std::back_inserter(Found), IsUntried);
  return Found;
}

mono_time endpoint_choice::avoidedUntil(const endpoint_info &Endpoint,
                                        const state &State) const {
  return isUnreachable(Endpoint)
             ? State.AvoidedUntil
             : std::max(State.AvoidedUntil, State.NotConnectedUntil);
}

// Load: some endpoints are unreachable, fail or are slow while they report that
// they are healthy. Outlier ejection from this VM's own observations. The
// ejected share is capped: if all endpoints fail, the cause lies elsewhere, and
// the remaining endpoints would be overloaded.
endpoint_choice::candidates endpoint_choice::healthy(const candidates &All,
                                                     mono_time Now) const {
  double Mean = 0;
  for (const auto &[Info, State] : All)
    Mean += State->FailureRate / static_cast<double>(All.size());
  candidates Kept;
  for (const auto &Candidate : All) {
    const state &State = *Candidate.second;
    const bool IsFailing =
        State.FailureRate >
        config::GreyFailureFactor * Mean + config::GreyFailureFloor;
    if (avoidedUntil(*Candidate.first, State) <= Now && !IsFailing)
      Kept.push_back(Candidate);
  }
  const double MinKept =
      (1 - config::MaxAvoidedShare) * static_cast<double>(All.size());
  if (static_cast<double>(Kept.size()) >= MinKept)
    return Kept;
  // Too many are ejected: keep those with the best record.
  candidates Sorted = All;
  const auto RecordOf = [this](const auto &Candidate) {
    return std::pair(avoidedUntil(*Candidate.first, *Candidate.second),
                     Candidate.second->FailureRate);
  };
  std::stable_sort(Sorted.begin(), Sorted.end(),
                   [&RecordOf](const auto &A, const auto &B) {
                     return RecordOf(A) < RecordOf(B);
                   });
  Sorted.resize(std::max<std::size_t>(1, static_cast<std::size_t>(MinKept)));
  return Sorted;
}

// Load: prompts of 1,000 to 50,000 tokens for models that differ tenfold in
// speed, with long shared prefixes. Harm prevented: a short request waits
// behind a long prompt while another engine is idle, or a prefix is computed on
// every engine. The cost of an engine is its work in flight from all VMs.
// Rendezvous hashing maps a prefix to the same preferred engine on every VM
// without coordination; the prefix is likely cached there, which counts as
// saved work. Engines of other data centres carry a penalty: traffic between
// data centres is billed, and local work survives a partition.
chosen_endpoint
endpoint_choice::pickEngine(const candidates &From,
                            const endpoint_request &Request) const {
  const std::uint64_t Key = Request.Affinity ^ stableHash(Request.Model);
  const auto RankOf = [Key](const auto &Candidate) {
    return mixBits(Candidate.second->IdHash ^ Key);
  };
  const auto Preferred = std::max_element(
      From.begin(), From.end(), [&RankOf](const auto &A, const auto &B) {
        return RankOf(A) < RankOf(B);
      });
  double Mean = 0;
  for (const auto &Candidate : From)
    Mean += totalWork(*Candidate.second) / static_cast<double>(From.size());
  const double Penalty =
      config::OtherCentreFixedWork + config::OtherCentreLoadFactor * Mean;
  const auto CostOf = [&](const auto &Candidate) {
    const bool IsOther = Candidate.first->DataCentre != DataCentre;
    const double Saved = &Candidate == &*Preferred
                             ? config::CacheHitWeight * Request.SharedWork
                             : 0;
    return totalWork(*Candidate.second) + (IsOther ? Penalty : 0) - Saved;
  };
  // Ties go to the preferred engine, then to the highest rank, so that all VMs
  // break them alike.
  const auto *Best = &*Preferred;
  double LowestCost = CostOf(*Best);
  for (const auto &Candidate : From) {
    const double Cost = CostOf(Candidate);
    if (Cost < LowestCost || (Cost == LowestCost && Best != &*Preferred &&
                              RankOf(Candidate) > RankOf(*Best))) {
      Best = &Candidate;
      LowestCost = Cost;
    }
  }
  const double Own = Request.Work - Request.AnswerWork;
  const double Cached =
      Best == &*Preferred ? std::min(Own, Request.SharedWork) : 0.0;
  return {*Best->first, {Own - Cached, totalWork(*Best->second)}};
}

// Load: short calls to endpoints with few slots, from VMs that see little of
// the others' load. Power of three choices: takes the one with the lowest
// product of requests in flight and mean time to first byte; other data centres
// carry a penalty.
chosen_endpoint endpoint_choice::pickPlain(const candidates &From) {
  const auto CostOf = [this](const auto &Candidate) {
    const auto &[Info, State] = Candidate;
    const double Penalty =
        Info->DataCentre == DataCentre ? 0 : config::OtherCentreRequests;
    const double Wait = std::max(State->MeanFirstByte, config::MinEndpointWait);
    const unsigned Running =
        State->Running + Peers.at(State->DigestHash).Running;
    return (Running + 1.0 + Penalty) * Wait;
  };
  const auto &First = From[random() % From.size()];
  const auto &Second = From[random() % From.size()];
  const auto &Third = From[random() % From.size()];
  const auto *Best = &First;
  for (const auto *Other : {&Second, &Third})
    if (CostOf(*Other) < CostOf(*Best))
      Best = Other;
  return {*Best->first, {}};
}

std::optional<chosen_endpoint>
endpoint_choice::peek(const endpoint_request &Request, mono_time Now) {
  const candidates Found = withPath(candidatesFor(Request, Now), Request, Now);
  if (Found.empty())
    return std::nullopt;
  const candidates Healthy = healthy(Found, Now);
  return Request.Model.empty() ? pickPlain(Healthy)
                               : pickEngine(Healthy, Request);
}

std::optional<chosen_endpoint>
endpoint_choice::choose(const endpoint_request &Request, mono_time Now) {
  auto Picked = peek(Request, Now);
  if (!Picked)
    return std::nullopt;
  if (needsPeer(*Picked, Request))
    Picked->Peer = choosePeer(*Picked, Now).value_or(std::string{});
  state &State = States[Picked->Id];
  SlowStart.recordSend(State.DigestHash, Request.Service, Now);
  Limits.recordSend(State.DigestHash, Now);
  Guard.recordSend(admissionQuery(*Picked, State, Request), Now);
  ++State.Running;
  State.Work += Request.Work;
  return Picked;
}

double endpoint_choice::totalWork(const state &State) const {
  return Peers.at(State.DigestHash).Work + State.Work;
}

double endpoint_choice::outstandingWork(std::string_view Id) const {
  const auto Own = States.find(Id);
  return Peers.at(Id).Work + (Own == States.end() ? 0 : Own->second.Work);
}

double endpoint_choice::meanOutstandingWork(std::string_view Service) const {
  const auto Endpoints = Directory.usable(Service);
  double Sum = 0;
  for (const endpoint_info *Info : Endpoints)
    Sum += outstandingWork(Info->Id);
  return Endpoints.empty() ? 0 : Sum / static_cast<double>(Endpoints.size());
}

void endpoint_choice::reportProgress(std::string_view Id, double By) {
  if (const auto Found = States.find(Id); Found != States.end())
    Found->second.Work = std::max(0.0, Found->second.Work - By);
}

void endpoint_choice::attemptEnded(std::string_view Id, double Work,
                                   attempt_result Result,
                                   std::optional<duration> FirstByte,
                                   mono_time Now) {
  const auto Found = States.find(Id);
  if (Found == States.end())
    return;
  state &State = Found->second;
  if (Result == attempt_result::Full)
    if (const endpoint_info *Info = Directory.find(Id))
      Guard.recordRejection(admissionQuery(*Info, State, {}), Now);
  State.Running -= State.Running > 0 ? 1 : 0;
  State.Work = State.Running == 0 ? 0 : std::max(0.0, State.Work - Work);
  if (FirstByte)
    updateAverage(State.MeanFirstByte, seconds(*FirstByte));
  switch (Result) {
  case attempt_result::Served:
    State.ConsecutiveFailures = 0;
    updateAverage(State.FailureRate, 0);
    break;
  case attempt_result::Failed:
    State.ConsecutiveFailures = 0;
    updateAverage(State.FailureRate, 1);
    break;
  // Failure: endpoints restart under new ids at their old addresses, and the
  // list names the old ids for several seconds. The addresses accept
  // connections, so probes prove nothing, and each request would waste attempts
  // on them.
  case attempt_result::Replaced:
    State.IsReplaced = true;
    break;
  case attempt_result::Full:
    State.AvoidedUntil = Now + config::FullEndpointBackoff;
    break;
  case attempt_result::Unreachable:
  case attempt_result::Refused:
    if (const endpoint_info *Info = Directory.find(Id))
      connectFailed(*Info, Result == attempt_result::Refused, Now);
    [[fallthrough]];
  case attempt_result::Broken: {
    if (const endpoint_info *Info = Directory.find(Id);
        Info && saysOfEndpoint(*Info, Now))
      SlowStart.markRestarted(State.DigestHash, Info->Service, Now);
    updateAverage(State.FailureRate, 1);
    if (Result == attempt_result::Broken && State.ConsecutiveFailures == 0) {
      State.ConsecutiveFailures = 1; // a single one may be the request's fault
      break;
    }
    State.ConsecutiveFailures = std::min(State.ConsecutiveFailures + 1,
                                         config::MaxEndpointBackoffSteps);
    (Result == attempt_result::Broken ? State.AvoidedUntil
                                      : State.NotConnectedUntil) =
        Now + config::UnreachableEndpointBackoff *
                  static_cast<int>(State.ConsecutiveFailures);
    break;
  }
  case attempt_result::Untunnelled:
  case attempt_result::Cancelled:
    break;
  }
}

// Failure: an endpoint restarts faster than its list entry is updated and is
// back at its old address, cold.
void endpoint_choice::connected(const endpoint_info &Endpoint, duration Elapsed,
                                mono_time Now) {
  if (Reach.isUnreachable(Endpoint.Id) && saysOfEndpoint(Endpoint, Now))
    SlowStart.markRestarted(digestHash(Endpoint.Id), Endpoint.Service, Now);
  Reach.connected(Endpoint.Id, Endpoint.DataCentre, Elapsed, Now);
  Paths.markDirect(Endpoint);
}

// Failure: a VM loses its links to the endpoints and takes them for restarted.
// Each would be cold for the whole fleet. A peer that reaches the endpoint
// shows that it didn't go down, unless it had the time to restart.
void endpoint_choice::connectedThroughPeer(const endpoint_info &Endpoint,
                                           mono_time Now) {
  Reach.connectedThroughPeer();
  if (!Reach.isUnreachable(Endpoint.Id, Endpoint.DataCentre))
    return;
  Paths.markLost(Endpoint);
  for (const endpoint_info *Info : Directory.usable(Endpoint.Service))
    if (Info->DataCentre == Endpoint.DataCentre)
      SlowStart.retractRestart(digestHash(Info->Id), Now);
}

namespace {

/// Stands for the peers of this data centre among the delayed ones.
constexpr std::string_view NearPeers = "near peers";

} // namespace

bool endpoint_choice::saysOfEndpoint(const endpoint_info &Endpoint,
                                     mono_time Now) const {
  return !Paths.isLost(Endpoint) && !Reach.isOwnLinkSlow(Now) &&
         !Reach.isDoubtful(Endpoint.Id);
}

void endpoint_choice::tunnelFailed(std::string_view Peer,
                                   const endpoint_info &Endpoint,
                                   tunnel_failure Failure, mono_time Now) {
  // Peers of another data centre are silent with it if it is cut off. Those of
  // this one are no more likely to be than its endpoints.
  if (Failure == tunnel_failure::PeerUnavailable) {
    const std::string_view Centre = Paths.dataCentreOf(Peer);
    Reach.peerUnanswered(Centre == DataCentre ? NearPeers : Centre, Now);
  }
  Paths.tunnelFailed(Peer, Endpoint, Failure, Now);
}

bool endpoint_choice::hasLostGroupOf(const endpoint_info &Endpoint) const {
  const auto Lost = lostGroups();
  return std::find(Lost.begin(), Lost.end(),
                   endpointGroup(Endpoint.Service, Endpoint.DataCentre)) !=
         Lost.end();
}

void endpoint_choice::connectFailed(const endpoint_info &Endpoint,
                                    bool IsRefused, mono_time Now) {
  Reach.connectFailed(Endpoint.Id, Endpoint.DataCentre, Now, IsRefused);
  if (saysOfEndpoint(Endpoint, Now))
    SlowStart.markRestarted(digestHash(Endpoint.Id), Endpoint.Service, Now);
}

std::vector<std::uint32_t> endpoint_choice::lostGroups() const {
  if (Reach.countUnreachable() == 0 && Paths.countLost() == 0)
    return {};
  std::map<std::uint32_t, bool> Groups;
  for (const endpoint_info *Info : Directory.all()) {
    const auto [Group, IsNew] = Groups.try_emplace(
        endpointGroup(Info->Service, Info->DataCentre), true);
    Group->second = Group->second && isUnreachable(*Info);
  }
  std::vector<std::uint32_t> Lost;
  for (const auto &[Group, IsLost] : Groups)
    if (IsLost && Lost.size() < MaxDigestGroups)
      Lost.push_back(Group);
  return Lost;
}

bool endpoint_choice::recordLimit(std::string_view Id,
                                  std::optional<double> RequestsPerSecond,
                                  mono_time Now) {
  return Limits.recordAnswer(digestHash(Id), RequestsPerSecond, Now);
}

bool endpoint_choice::recordRejectionLimit(
    std::string_view Service, std::optional<double> RejectionsPerSecond,
    mono_time Now) {
  return Guard.recordAnswer(digestHash(Service), RejectionsPerSecond, Now);
}

void endpoint_choice::markDataCentreCold(std::string_view DataCentre,
                                         mono_time Now) {
  for (const endpoint_info *Info : Directory.inDataCentre(DataCentre))
    SlowStart.markCold(digestHash(Info->Id), SlowStart.coldTime(Info->Service),
                       Now);
}

std::optional<mono_time>
endpoint_choice::nextSendTime(const endpoint_request &Request,
                              mono_time Now) const {
  std::optional<mono_time> Earliest;
  for (const endpoint_info *Info : Directory.usable(Request.Service)) {
    if (Request.IsAllowed && !Request.IsAllowed(*Info))
      continue;
    const std::uint32_t Hash = digestHash(Info->Id);
    const auto Limited = Limits.nextSendTime(Hash, Now);
    if (!Limited)
      continue;
    const mono_time At = std::max({SlowStart.nextSendTime(Hash, Now), *Limited,
                                   Pauses.endOf(Hash).value_or(Now)});
    Earliest = std::min(Earliest.value_or(At), At);
  }
  return Earliest;
}

bool endpoint_choice::takesRequests(const endpoint_info &Endpoint,
                                    mono_time Now) const {
  return !Directory.isLeaving(Endpoint) &&
         !Pauses.isPaused(digestHash(Endpoint.Id), Now);
}

std::optional<duration>
endpoint_choice::pauseLeft(const endpoint_request &Request,
                           mono_time Now) const {
  if (Pauses.size() == 0)
    return std::nullopt;
  std::optional<duration> Shortest;
  for (const endpoint_info *Info : Directory.usable(Request.Service)) {
    if (Request.IsAllowed && !Request.IsAllowed(*Info))
      continue;
    const auto End = Pauses.endOf(digestHash(Info->Id));
    if (!End || *End <= Now)
      return std::nullopt;
    Shortest = std::min(Shortest.value_or(duration::max()), *End - Now);
  }
  return Shortest;
}

std::string endpoint_choice::describePauses(std::string_view Service,
                                            mono_time Now) const {
  std::string Text;
  std::size_t Count = 0;
  if (Pauses.size() == 0)
    return Text;
  for (const endpoint_info *Info : Directory.usable(Service)) {
    const auto End = Pauses.endOf(digestHash(Info->Id));
    if (!End || *End <= Now || ++Count > MaxDescribedPauses)
      continue;
    const auto Left =
        std::chrono::duration_cast<std::chrono::milliseconds>(*End - Now);
    Text += (Text.empty() ? "" : " ") + Info->Id + ":" +
            std::to_string(Left.count());
  }
  return Count > MaxDescribedPauses ? Text + " and more" : Text;
}

std::vector<endpoint_info> endpoint_choice::newlyUnreachable() {
  std::vector<endpoint_info> Found;
  for (const std::string &Id : Reach.takeNewlyUnreachable())
    if (const endpoint_info *Info = Directory.find(Id);
        Info && !Paths.isLost(*Info))
      Found.push_back(*Info);
  return Found;
}

std::vector<endpoint_info> endpoint_choice::probesDue(mono_time Now) {
  std::vector<endpoint_info> Due;
  const auto IsKnown = [this](std::string_view Id) {
    return Directory.find(Id) != nullptr;
  };
  for (const std::string &Id : Reach.probesDue(IsKnown, Now)) {
    Due.push_back(*Directory.find(Id));
    // It may be back at any moment, and other VMs may not have noticed the
    // outage.
    if (saysOfEndpoint(Due.back(), Now))
      SlowStart.markRestarted(digestHash(Id), Due.back().Service, Now);
  }
  // One random endpoint of those that are excluded only because their data
  // centre or group is unreachable.
  std::vector<const endpoint_info *> Others;
  for (const auto &[Id, State] : States)
    if (const endpoint_info *Info = Directory.find(Id);
        Info && !Reach.isUnreachable(Id) && isUnreachable(*Info))
      Others.push_back(Info);
  if (!Others.empty())
    Due.push_back(*Others[random() % Others.size()]);
  return Due;
}

void endpoint_choice::eraseRemoved() {
  std::erase_if(States, [this](const auto &Entry) {
    return Entry.second.Running == 0 && !Directory.find(Entry.first);
  });
}

std::vector<endpoint_load> endpoint_choice::loads() const {
  std::vector<endpoint_load> Loads;
  for (const auto &[Id, State] : States)
    if (State.Running > 0)
      Loads.push_back({digestHash(Id), State.Work, State.Running});
  return Loads;
}

endpoint_choice::occupancy
endpoint_choice::occupancyOf(std::string_view Service) const {
  occupancy Sum;
  for (const endpoint_info *Info : Directory.usable(Service)) {
    double Running = Peers.at(Info->Id).Running;
    if (const auto State = States.find(Info->Id); State != States.end())
      Running += State->second.Running;
    Sum.Running += Running;
    Sum.Slots += Info->Slots;
    Sum.BusySlots += std::min<double>(Running, Info->Slots);
  }
  return Sum;
}

std::size_t endpoint_choice::countAvoided(mono_time Now) const {
  return static_cast<std::size_t>(
      std::count_if(States.begin(), States.end(), [Now](const auto &Entry) {
        return std::max(Entry.second.AvoidedUntil,
                        Entry.second.NotConnectedUntil) > Now;
      }));
}

} // namespace clementinelane
