#pragma once

#include "admission.h"
#include "config.h"

#include <array>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementinelane {

/// Order in which the waiting requests of one customer start.
enum class queue_order : std::uint8_t { OldestFirst, NewestFirst };

/// The decision on one offered request.
struct admission_decision {
  std::string Id;
  admission_verdict Verdict;
};

/// Counters of one queue, for metrics and the benchmarks.
struct admission_stats {
  std::uint64_t Admitted = 0;
  std::uint64_t Queued = 0; ///< total
  std::uint64_t RefusedFull = 0;
  std::uint64_t RefusedDeadline = 0;
  std::uint64_t Expired = 0;   ///< refused after waiting in the queue
  std::uint64_t Shed = 0;      ///< evicted for another customer's request
  std::uint64_t Abandoned = 0; ///< ended by the caller while queued
  std::size_t Waiting = 0;     ///< now
  std::size_t Running = 0;     ///< now
};

/// Admission queue of one pool on one VM. Does no I/O and reads no clock: takes
/// events and the time, returns decisions.
class admission_queue {
public:
  explicit admission_queue(queue_order Order = queue_order::OldestFirst)
      : Order(Order) {}

  using decisions = std::vector<admission_decision>;

  /// Admits, queues or refuses the request. The decision on a queued request is
  /// returned by a later call.
  decisions offer(const admission_request &Request, mono_time Now);
  /// Ends a running or waiting request.
  decisions finished(std::string_view Id, mono_time Now);
  /// Refuses requests that can no longer meet their deadline and admits those
  /// for which there is capacity.
  decisions tick(mono_time Now);
  void setCapacity(const pool_capacity &Newer) { Capacity = Newer; }

  /// Predicted time until such a request would start.
  std::chrono::duration<double>
  predictedWait(const admission_request &Request) const;
  const admission_stats &stats() const { return Stats; }

private:
  static constexpr std::size_t Priorities = std::size(config::GuaranteedShare);

  struct waiting_request {
    admission_request Request;
    std::multimap<mono_time, std::string>::iterator LatestStartEntry;
  };
  struct customer_queue {
    std::list<waiting_request> Waiting;
    double Tokens = 0;
    double Weight = 1;
    double Deficit = 0;
  };
  using customer_queues = std::map<std::string, customer_queue, std::less<>>;
  /// The waiting customers of one priority, in round-robin order.
  struct priority_queue {
    customer_queues Customers;
    std::deque<std::string> RoundRobin;
    double Tokens = 0;
    double GuaranteeCredit = 0; ///< tokens due by its guaranteed share
  };
  struct position {
    std::size_t Priority;
    std::string Customer;
    std::list<waiting_request>::iterator At;
  };

  bool hasFreeSlot() const;
  double tokensAheadAtPriority(const admission_request &Request) const;
  std::chrono::duration<double> serviceTime(double Tokens) const;
  mono_time latestStart(const admission_request &Request) const;
  admission_verdict makeRefusal(error_kind Kind, std::string_view Rule,
                                std::chrono::duration<double> Wait) const;
  void enqueue(const admission_request &Request);
  void admit(const admission_request &Request, decisions &Out);
  void shedLargestCustomer(const admission_request &Incoming, decisions &Out);
  void expireWaiting(mono_time Now, decisions &Out);
  void admitWaiting(mono_time Now, decisions &Out);
  std::size_t choosePriority() const;
  std::string nextCustomer(priority_queue &Queue);
  const waiting_request &nextRequest(const customer_queue &Queue) const;
  void updateGuarantees(std::size_t Served, double Tokens);
  void remove(const position &Position);

  queue_order Order;
  pool_capacity Capacity;
  std::array<priority_queue, Priorities> Queues;
  std::unordered_map<std::string, position> Positions; ///< of waiting requests
  std::multimap<mono_time, std::string> ByLatestStart; ///< of waiting requests
  std::unordered_map<std::string, double> Running;
  /// Moving average of the share of starts that each priority got while
  /// requests were waiting.
  std::array<double, Priorities> RecentShare{};
  admission_stats Stats;
};

} // namespace clementinelane
