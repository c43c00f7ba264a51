#pragma once

#include "clock.h"
#include "return_schedule.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementinelane {

/// Planned returns of one VM, sent to the VMs of its data centre.
struct return_batch {
  std::uint64_t Vm = 0; ///< differs between VMs and their incarnations
  std::uint64_t Sequence = 0;
  std::vector<return_note> Notes;
};

std::string encodeReturns(const return_batch &Batch);
/// None if the bytes are malformed.
std::optional<return_batch> decodeReturns(std::string_view Bytes);

/// Exchanges planned returns with the VMs of the data centre, among which the
/// load balancer sends callers who come back. Does no I/O.
///
/// Load: as return_schedule. Harm prevented: a return is only recognised by the
/// VM that planned it, and callers who obey gain nothing. Notes go out in
/// batches with the router's tick; those of returns that are due before a batch
/// would arrive go out with the refusal. A lost, repeated or reordered batch
/// makes its returns ordinary arrivals.
class return_exchange {
public:
  using sender = std::function<void(std::string_view Bytes)>;

  /// `Vm` identifies this incarnation of the VM; `Send` delivers to the VMs of
  /// the data centre.
  return_exchange(std::uint64_t Vm, return_schedule &Returns, sender Send)
      : Vm(Vm), Returns(Returns), Send(std::move(Send)) {}

  void onTick(mono_time Now);
  /// Call before a refusal is sent.
  void onRefusal(mono_time Now);
  /// Returns whether the bytes are valid.
  bool onMessage(std::string_view Bytes, mono_time Now);

private:
  void sendBatch(mono_time Now);

  std::uint64_t Vm;
  return_schedule &Returns;
  sender Send;
  std::uint64_t Sequence = 0;
  std::unordered_map<std::uint64_t, std::uint64_t> LastSequences; ///< by VM
};

} // namespace clementinelane
