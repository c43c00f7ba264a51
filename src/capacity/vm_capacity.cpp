#include "capacity/vm_capacity.h"

#include <algorithm>

namespace clementinelane {

namespace {

/// Part of the link for requests. The rest absorbs packet headers,
/// retransmissions and the datagrams between routers.
constexpr double UsableLinkPart = 0.5;
/// Requests may come this far ahead of the link's rate.
constexpr double BurstSeconds = 0.25;
constexpr double MaxDebtSeconds = 1;
/// Of one request in the mean.
constexpr double MinMeanWeight = 0.02;
/// One request counts in the mean with at most this part of the burst, so that
/// a few large ones don't shut others out.
constexpr double MaxMeanPart = 1.0 / 128;
/// Descriptors for the store, peers, probes and logs.
constexpr double UsableDescriptorPart = 0.9;
/// An accepted request opens a connection to an endpoint.
constexpr std::size_t DescriptorsPerRequest = 2;
/// A VM without capacity accepts a connection this often: it counts as down
/// for load balancers otherwise, and learns nothing.
constexpr auto MaxAcceptGap = std::chrono::milliseconds(500);
/// Without descriptors: one may become free at any moment.
constexpr auto DescriptorPause = std::chrono::milliseconds(20);
/// Each pause costs a few system calls.
constexpr auto MinAcceptPause = std::chrono::milliseconds(10);

} // namespace

void vm_capacity::setResources(vm_resources Value) {
  if (usableRate() <= 0)
    Available = 0; // nothing was limited by it
  Resources = Value;
}

double vm_capacity::usableRate() const {
  return UsableLinkPart * Resources.LinkBytesPerSecond;
}

double vm_capacity::burst() const { return BurstSeconds * usableRate(); }

// Load: large requests on kept connections, which are charged but can't be left
// unread. Harm prevented: the VM refuses connections long after they are sent.
void vm_capacity::refill(mono_time Now) {
  const double Seconds =
      std::chrono::duration<double>(Now - RefilledAt).count();
  RefilledAt = Now;
  const double Bounded = std::max(Available, -MaxDebtSeconds * usableRate());
  Available =
      std::min(burst(), Bounded + std::max(0.0, Seconds) * usableRate());
}

bool vm_capacity::hasCapacity(std::size_t OpenDescriptors) const {
  if (Resources.LinkBytesPerSecond > 0 &&
      Available < std::min(MeanBytes, burst()))
    return false;
  return Resources.Descriptors == 0 ||
         static_cast<double>(OpenDescriptors + DescriptorsPerRequest) <=
             UsableDescriptorPart * static_cast<double>(Resources.Descriptors);
}

std::optional<double> vm_capacity::tryAccept(std::size_t OpenDescriptors,
                                             mono_time Now) {
  refill(Now);
  if (!hasCapacity(OpenDescriptors) && Now - AcceptedAt < MaxAcceptGap) {
    ++Unread;
    return std::nullopt;
  }
  AcceptedAt = Now;
  Available -= MeanBytes;
  return MeanBytes;
}

void vm_capacity::leftUnread(std::size_t Connections, mono_time Now) {
  Unread += Connections;
  charge(static_cast<double>(Connections) * MeanBytes, Now);
}

duration vm_capacity::acceptPause(std::size_t OpenDescriptors, mono_time Now) {
  refill(Now);
  if (hasCapacity(OpenDescriptors) || Now - AcceptedAt >= MaxAcceptGap)
    return duration::zero();
  ++Pauses;
  const duration UntilGap = AcceptedAt + MaxAcceptGap - Now;
  const double Missing = std::min(MeanBytes, burst()) - Available;
  const duration UntilFree =
      usableRate() > 0 && Missing > 0
          ? std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(Missing / usableRate()))
          : duration(DescriptorPause);
  return std::max<duration>(MinAcceptPause, std::min(UntilFree, UntilGap));
}

void vm_capacity::release(double Bytes, mono_time Now) { charge(-Bytes, Now); }

bool vm_capacity::mayKeep(std::size_t OpenDescriptors, mono_time Now) {
  refill(Now);
  return hasCapacity(OpenDescriptors);
}

void vm_capacity::charge(double Bytes, mono_time Now) {
  refill(Now);
  Available -= Bytes;
}

void vm_capacity::requestEnded(double Bytes, double Charged, mono_time Now) {
  release(Charged - Bytes, Now);
  const double Counted = usableRate() > 0
                             ? std::min(Bytes, std::max(InitialRequestBytes,
                                                        MaxMeanPart * burst()))
                             : Bytes;
  MeanBytes += MeanWeight * (Counted - MeanBytes);
  MeanWeight = std::max(MinMeanWeight, MeanWeight / (1 + MeanWeight));
}

} // namespace clementinelane
