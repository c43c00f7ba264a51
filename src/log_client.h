#pragma once

#include "clementinelane/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// One record of a stream.
struct log_record {
  std::uint64_t Offset = 0;
  std::string Bytes;
};

/// Result of one read.
struct log_batch {
  std::uint64_t First = 0; ///< oldest offset still kept
  std::uint64_t Next = 0;  ///< offset that the next append will get
  std::vector<log_record> Records;
};

/// Range of offsets that a stream holds now.
struct log_bounds {
  std::uint64_t First = 0; ///< oldest offset still kept
  std::uint64_t Next = 0;  ///< offset that the next append will get
};

/// The platform's append-only log.
class append_log {
public:
  virtual ~append_log() = default;
  /// Appends and returns the offset. After an error the record may still have
  /// been appended, since the response can be lost.
  virtual result<std::uint64_t> append(std::string_view Stream,
                                       std::string_view Bytes) = 0;
  /// Records from `From` on; waits up to `Wait` for the first one. LogExpired
  /// if `From` is below the oldest offset kept.
  virtual result<log_batch> read(std::string_view Stream, std::uint64_t From,
                                 std::chrono::milliseconds Wait) = 0;
  virtual result<log_bounds> bounds(std::string_view) {
    return error_kind::LogUnavailable;
  }
};

/// The log service over HTTP:
///   POST /v1/streams/NAME/records      body: the record -> {"offset": n}
///   GET  /v1/streams/NAME/records?from=n&limit=m&wait_ms=w
///     -> {"first": n, "next": n, "records": [{"offset": n, "data": base64}]}
///   410 if `from` is below the oldest offset kept.
///   GET  /v1/streams/NAME -> {"first": n, "next": n}
class http_append_log final : public append_log {
public:
  explicit http_append_log(std::string_view Address);

  result<std::uint64_t> append(std::string_view Stream,
                               std::string_view Bytes) override;
  result<log_batch> read(std::string_view Stream, std::uint64_t From,
                         std::chrono::milliseconds Wait) override;
  result<log_bounds> bounds(std::string_view Stream) override;

private:
  std::string Address;
};

} // namespace clementinelane
