#include "admission_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace clementinelane {

namespace {

using seconds = std::chrono::duration<double>;

/// Calls to plain services have no token estimate; each counts as one token.
double tokensOf(const admission_request &Request) {
  return std::max(1.0, static_cast<double>(Request.Tokens));
}

std::size_t indexOf(priority Priority) {
  return static_cast<std::size_t>(Priority);
}

/// Weight of one start in RecentShare, which averages about the last 30.
constexpr double RecentShareWeight = 1.0 / 32;

} // namespace

bool admission_queue::hasFreeSlot() const {
  // With no known endpoint, nothing is queued: placement fails at once, with
  // the right error kind.
  return Capacity.Concurrency <= 0 ||
         static_cast<double>(Running.size()) <
             std::max(1.0, std::floor(Capacity.Concurrency));
}

seconds admission_queue::serviceTime(double Tokens) const {
  return seconds(Tokens * Capacity.SecondsPerToken);
}

mono_time admission_queue::latestStart(const admission_request &Request) const {
  return Request.Deadline -
         std::chrono::duration_cast<duration>(serviceTime(tokensOf(Request)));
}

// With deficit round robin, a customer with backlog B and weight W lets a
// customer of weight V send at most B * V / W before that backlog is done.
double
admission_queue::tokensAheadAtPriority(const admission_request &Request) const {
  const priority_queue &Queue = Queues[indexOf(Request.Priority)];
  const auto CustomerQueue = Queue.Customers.find(Request.Customer);
  const double OwnTokens =
      CustomerQueue == Queue.Customers.end() ? 0 : CustomerQueue->second.Tokens;
  const double Rounds = (OwnTokens + tokensOf(Request)) / Request.Weight;
  double TokensAhead = OwnTokens;
  for (const auto &[Name, Each] : Queue.Customers)
    if (Name != Request.Customer)
      TokensAhead += std::min(Each.Tokens, Rounds * Each.Weight);
  return TokensAhead;
}

// Load: more work than the pool can serve. Harm prevented: a prediction that
// ignores the work still arriving at higher priorities, so that low priorities
// wait in vain. Little's law gives the drain rate from the concurrency and the
// time per token, whether or not the pool was busy before.
seconds admission_queue::predictedWait(const admission_request &Request) const {
  if (hasFreeSlot() && Stats.Waiting == 0)
    return seconds(0);
  const double Rate = std::max(1.0, std::floor(Capacity.Concurrency)) /
                      Capacity.SecondsPerToken;
  const std::size_t Index = indexOf(Request.Priority);
  double HigherTokens = 0;
  double HigherShare = 0;
  for (std::size_t Each = 0; Each < Index; ++Each) {
    HigherTokens += Queues[Each].Tokens;
    if (Queues[Each].Tokens > 0)
      HigherShare += RecentShare[Each];
  }
  const double TokensAhead =
      tokensAheadAtPriority(Request) + tokensOf(Request) / 2;
  const double Guaranteed = config::GuaranteedShare[Index];
  const double Share =
      std::clamp(1 - HigherShare, std::max(0.02, Guaranteed), 1.0);
  double Wait = HigherTokens / Rate + TokensAhead / (Rate * Share);
  if (Guaranteed > 0)
    Wait = std::min(Wait, TokensAhead / (Rate * Guaranteed));
  return seconds(Wait);
}

admission_verdict admission_queue::makeRefusal(error_kind Kind,
                                               std::string_view Rule,
                                               seconds Wait) const {
  const auto After = std::clamp<std::chrono::milliseconds>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Wait),
      config::MinRetryAfter, config::MaxRetryAfter);
  return {Kind, After, Rule, "queue"};
}

// Load: bursts and saturation. Harm prevented: a caller waits for an answer
// that can't arrive in time and holds a queue slot that others could use. A
// request is queued only if the predicted wait takes at most MaxWaitFraction of
// its slack; otherwise it is refused at once, with the time in which the
// backlog drains as Retry-After.
admission_queue::decisions
admission_queue::offer(const admission_request &Request, mono_time Now) {
  decisions Out;
  expireWaiting(Now, Out);
  admitWaiting(Now, Out);
  if (hasFreeSlot() && Stats.Waiting == 0) {
    admit(Request, Out);
    return Out;
  }
  const seconds Wait = predictedWait(Request);
  const seconds Slack = latestStart(Request) - Now;
  if (Wait > Slack * config::MaxWaitFraction) {
    ++Stats.RefusedDeadline;
    Out.push_back({Request.Id, makeRefusal(error_kind::DeadlineTooShort,
                                           "predicted_wait", Wait)});
    return Out;
  }
  const priority_queue &Queue = Queues[indexOf(Request.Priority)];
  const auto CustomerQueue = Queue.Customers.find(Request.Customer);
  if (CustomerQueue != Queue.Customers.end() &&
      CustomerQueue->second.Waiting.size() >= config::MaxQueuedPerCustomer) {
    ++Stats.RefusedFull;
    Out.push_back({Request.Id, makeRefusal(error_kind::QueueFull,
                                           "customer_queue_full", Wait)});
    return Out;
  }
  shedLargestCustomer(Request, Out);
  enqueue(Request);
  return Out;
}

// Load: a pool's queue full of few customers' work. Harm prevented: large
// customers crowd out small ones. At the lowest priority with waiting requests,
// the customer with the most waiting tokens for its weight loses its newest
// request, which has waited least.
void admission_queue::shedLargestCustomer(const admission_request &Incoming,
                                          decisions &Out) {
  if (Stats.Waiting < config::MaxQueuedPerPool)
    return;
  const auto Lowest =
      std::find_if(Queues.rbegin(), Queues.rend(),
                   [](const priority_queue &Each) { return Each.Tokens > 0; });
  const auto Largest =
      std::max_element(Lowest->Customers.begin(), Lowest->Customers.end(),
                       [](const auto &A, const auto &B) {
                         return A.second.Tokens / A.second.Weight <
                                B.second.Tokens / B.second.Weight;
                       });
  const admission_request Victim = Largest->second.Waiting.back().Request;
  ++Stats.Shed;
  Out.push_back(
      {Victim.Id, makeRefusal(error_kind::QueueFull, "largest_customer",
                              predictedWait(Incoming))});
  remove(Positions.at(Victim.Id));
}

void admission_queue::enqueue(const admission_request &Request) {
  const std::size_t Index = indexOf(Request.Priority);
  priority_queue &Queue = Queues[Index];
  auto [At, IsNew] = Queue.Customers.try_emplace(Request.Customer);
  customer_queue &CustomerQueue = At->second;
  if (IsNew)
    Queue.RoundRobin.push_back(Request.Customer);
  CustomerQueue.Weight = Request.Weight;
  CustomerQueue.Tokens += tokensOf(Request);
  Queue.Tokens += tokensOf(Request);
  CustomerQueue.Waiting.push_back(
      {Request, ByLatestStart.emplace(latestStart(Request), Request.Id)});
  Positions[Request.Id] = {Index, Request.Customer,
                           std::prev(CustomerQueue.Waiting.end())};
  ++Stats.Queued;
  ++Stats.Waiting;
}

void admission_queue::admit(const admission_request &Request, decisions &Out) {
  Running.emplace(Request.Id, tokensOf(Request));
  Stats.Running = Running.size();
  ++Stats.Admitted;
  Out.push_back({Request.Id, {{}, {}, "admitted", "queue"}});
}

admission_queue::decisions admission_queue::finished(std::string_view Id,
                                                     mono_time Now) {
  decisions Out;
  const std::string Key(Id);
  if (const auto At = Positions.find(Key); At != Positions.end()) {
    ++Stats.Abandoned;
    remove(position(At->second));
  }
  Running.erase(Key);
  Stats.Running = Running.size();
  admitWaiting(Now, Out);
  return Out;
}

admission_queue::decisions admission_queue::tick(mono_time Now) {
  decisions Out;
  expireWaiting(Now, Out);
  admitWaiting(Now, Out);
  return Out;
}

// Refuses every request that is past its latest useful start, whatever its
// position. Otherwise callers would learn close to their deadline that nothing
// ran, and work would start that can't finish in time.
void admission_queue::expireWaiting(mono_time Now, decisions &Out) {
  while (!ByLatestStart.empty() && ByLatestStart.begin()->first < Now) {
    const position Position = Positions.at(ByLatestStart.begin()->second);
    const std::string Id = Position.At->Request.Id;
    const seconds Wait = predictedWait(Position.At->Request);
    remove(Position);
    ++Stats.Expired;
    Out.push_back(
        {Id, makeRefusal(error_kind::DeadlineTooShort, "latest_start", Wait)});
  }
}

void admission_queue::admitWaiting(mono_time Now, decisions &Out) {
  while (Stats.Waiting > 0 && hasFreeSlot()) {
    const std::size_t Index = choosePriority();
    const std::string Customer = nextCustomer(Queues[Index]);
    customer_queue &CustomerQueue = Queues[Index].Customers.at(Customer);
    const admission_request Request = nextRequest(CustomerQueue).Request;
    const bool IsUseful = latestStart(Request) >= Now;
    if (IsUseful) {
      CustomerQueue.Deficit -= tokensOf(Request);
      updateGuarantees(Index, tokensOf(Request));
    }
    remove(Positions.at(Request.Id));
    if (IsUseful) {
      admit(Request, Out);
      continue;
    }
    ++Stats.Expired;
    Out.push_back({Request.Id, makeRefusal(error_kind::DeadlineTooShort,
                                           "latest_start", seconds(0))});
  }
}

// Load: counter, normal and overnight work at once on a full pool. Harm
// prevented: a caller at the counter waits behind a nightly batch, or the batch
// never ends because the counter is busy. The highest waiting priority goes
// first, unless a lower one has collected a quantum of credit from its
// guaranteed share.
std::size_t admission_queue::choosePriority() const {
  std::size_t Highest = Priorities;
  for (std::size_t Index = Priorities; Index-- > 0;)
    if (Queues[Index].Tokens > 0)
      Highest = Index;
  for (std::size_t Index = Priorities; Index-- > Highest + 1;)
    if (Queues[Index].Tokens > 0 &&
        Queues[Index].GuaranteeCredit >= config::QuantumTokens)
      return Index;
  return Highest;
}

void admission_queue::updateGuarantees(std::size_t Served, double Tokens) {
  bool IsHighest = true;
  for (std::size_t Index = 0; Index < Priorities; ++Index) {
    priority_queue &Queue = Queues[Index];
    RecentShare[Index] += RecentShareWeight *
                          ((Index == Served ? 1.0 : 0.0) - RecentShare[Index]);
    if (Queue.Tokens <= 0) {
      Queue.GuaranteeCredit = 0;
      continue;
    }
    // A start that a priority would have got anyway is not charged to its
    // guarantee.
    if (Index != Served)
      Queue.GuaranteeCredit += Tokens * config::GuaranteedShare[Index];
    else if (!IsHighest)
      Queue.GuaranteeCredit -= Tokens * (1 - config::GuaranteedShare[Index]);
    IsHighest = false;
  }
}

// Load: skewed demand. Harm prevented: one customer at ten times its usual
// demand makes all others wait. Deficit round robin in estimated tokens gives
// each waiting customer a share by its weight, whatever the number and length
// of its requests.
std::string admission_queue::nextCustomer(priority_queue &Queue) {
  for (;;) {
    double RoundsNeeded = HUGE_VAL;
    for (std::size_t Turn = 0; Turn < Queue.RoundRobin.size(); ++Turn) {
      std::string Name = Queue.RoundRobin.front();
      const customer_queue &CustomerQueue = Queue.Customers.at(Name);
      const double Missing =
          tokensOf(nextRequest(CustomerQueue).Request) - CustomerQueue.Deficit;
      if (Missing <= 0)
        return Name;
      RoundsNeeded = std::min(
          RoundsNeeded,
          std::ceil(Missing / (config::QuantumTokens * CustomerQueue.Weight)));
      Queue.RoundRobin.pop_front();
      Queue.RoundRobin.push_back(Name);
    }
    // No customer can send yet: add as many rounds at once as the first one to
    // become ready needs.
    for (auto &[Name, CustomerQueue] : Queue.Customers)
      CustomerQueue.Deficit +=
          RoundsNeeded * config::QuantumTokens * CustomerQueue.Weight;
  }
}

const admission_queue::waiting_request &
admission_queue::nextRequest(const customer_queue &Queue) const {
  return Order == queue_order::OldestFirst ? Queue.Waiting.front()
                                           : Queue.Waiting.back();
}

void admission_queue::remove(const position &Position) {
  priority_queue &Queue = Queues[Position.Priority];
  const auto CustomerQueue = Queue.Customers.find(Position.Customer);
  const std::string Id = Position.At->Request.Id;
  const double Tokens = tokensOf(Position.At->Request);
  CustomerQueue->second.Tokens -= Tokens;
  Queue.Tokens -= Tokens;
  --Stats.Waiting;
  ByLatestStart.erase(Position.At->LatestStartEntry);
  CustomerQueue->second.Waiting.erase(Position.At);
  if (CustomerQueue->second.Waiting.empty()) {
    std::erase(Queue.RoundRobin, CustomerQueue->first);
    Queue.Customers.erase(CustomerQueue);
  }
  Positions.erase(Id);
}

} // namespace clementinelane
