#pragma once

#include "clementinelane/error.h"

#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace clementinelane {

/// What one version did for a request.
struct usage_part {
  std::string Version; ///< or the service
  std::string Endpoint;
  std::uint64_t PromptTokens = 0;
  std::uint64_t CompletionTokens = 0;
  double Cost = 0;
  bool Delivered = true; ///< false: ran, but the caller never got its answer
  MSGPACK_DEFINE_MAP(Version, Endpoint, PromptTokens, CompletionTokens, Cost,
                     Delivered)
};

/// The bill of one request; consumers drop repeats by RequestId.
struct usage_record {
  std::string RequestId;
  std::string Customer;
  std::string Work;
  std::string Vm;
  std::int64_t At = 0; ///< wall time, milliseconds
  std::vector<usage_part> Parts;
  MSGPACK_DEFINE_MAP(RequestId, Customer, Work, Vm, At, Parts)
};

/// Keeps usage until the log has it.
class usage_service {
public:
  virtual ~usage_service() = default;
  /// False: no new billable work may be taken.
  virtual bool hasRoom() const = 0;
  /// `Done` without an error once the record is in the log or in memory on
  /// two other VMs; exactly one call, from any thread.
  virtual void keep(const usage_record &Record,
                    std::function<void(std::error_code)> Done) = 0;
};

} // namespace clementinelane
