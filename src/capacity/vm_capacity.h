#pragma once

#include "clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace clementinelane {

/// What a VM has, from its settings; 0: unknown, not limited.
struct vm_resources {
  double LinkBytesPerSecond = 0;
  std::size_t Descriptors = 0;
};

/// Limits the connections that a VM accepts to what its own resources carry.
/// Does no I/O.
///
/// Load: a load balancer that sends most new connections of a region to one
/// VM. Harm prevented: all requests read there wait behind each other on the
/// VM's link until they time out, while other VMs are idle. A connection that
/// is refused or closed unread costs its caller a round trip, and the next one
/// reaches another VM. Each accepted connection reserves the bytes that a
/// request sends on average; the end of the request returns what it didn't
/// send.
class vm_capacity {
public:
  explicit vm_capacity(vm_resources Resources) : Resources(Resources) {}

  void setResources(vm_resources Value);
  /// Bytes reserved for the first request of a new connection; none if the
  /// connection is not to be accepted.
  std::optional<double> tryAccept(std::size_t OpenDescriptors, mono_time Now);
  /// Connections that had arrived were closed unread. What their callers sent
  /// has used the link all the same.
  void leftUnread(std::size_t Connections, mono_time Now);
  /// For how long tryAccept() will refuse connections; zero: it accepts one.
  duration acceptPause(std::size_t OpenDescriptors, mono_time Now);
  /// Returns bytes that were reserved or charged and not sent.
  void release(double Bytes, mono_time Now);
  /// Whether connections stay open after an answer. Requests on them can't be
  /// left unread, so without capacity their callers have to connect again.
  bool mayKeep(std::size_t OpenDescriptors, mono_time Now);
  /// Charges bytes of a request beyond those reserved for it.
  void charge(double Bytes, mono_time Now);
  /// A request ended after sending `Bytes`, of which `Charged` were reserved or
  /// charged.
  void requestEnded(double Bytes, double Charged, mono_time Now);

  double meanRequestBytes() const { return MeanBytes; }
  /// Connections left unread since the start.
  std::uint64_t unread() const { return Unread; }
  /// Times at which no further connection was accepted, since the start.
  std::uint64_t pauses() const { return Pauses; }

private:
  /// Until requests have ended.
  static constexpr double InitialRequestBytes = 32768;

  double usableRate() const;
  void refill(mono_time Now);
  bool hasCapacity(std::size_t OpenDescriptors) const;
  double burst() const;

  vm_resources Resources;
  double MeanBytes = InitialRequestBytes;
  double MeanWeight = 1; ///< of the next request
  double Available = 0;  ///< bytes, negative if more is reserved than fits
  mono_time RefilledAt{};
  mono_time AcceptedAt{};
  std::uint64_t Unread = 0;
  std::uint64_t Pauses = 0;
};

} // namespace clementinelane
