#pragma once

#include "clementinelane/error.h"

#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace clementinelane {

/// Usage of one model version or service within a request.
struct usage_part {
  std::string Version; ///< or the name of the service
  std::string Endpoint;
  std::uint64_t PromptTokens = 0;
  std::uint64_t CompletionTokens = 0;
  double Cost = 0;
  bool Delivered = true; ///< false: ran, but the caller got no answer from it
  MSGPACK_DEFINE_MAP(Version, Endpoint, PromptTokens, CompletionTokens, Cost,
                     Delivered)
};

/// Billable usage of one request. Consumers deduplicate by RequestId.
struct usage_record {
  std::string RequestId;
  std::string Customer;
  std::string Work;
  std::string Vm;
  std::int64_t At = 0; ///< wall clock, milliseconds
  std::vector<usage_part> Parts;
  MSGPACK_DEFINE_MAP(RequestId, Customer, Work, Vm, At, Parts)
};

/// Stores usage records durably until they are appended to the log.
class usage_service {
public:
  virtual ~usage_service() = default;
  /// False if new billable work must be refused.
  virtual bool hasRoom() const = 0;
  /// Calls `Done` exactly once, from any thread: without an error as soon as
  /// the record is in the log or in memory on two other VMs.
  virtual void keep(const usage_record &Record,
                    std::function<void(std::error_code)> Done) = 0;
};

} // namespace clementinelane
