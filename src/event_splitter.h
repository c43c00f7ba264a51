#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace clementinelane {

/// One complete server-sent event, including its terminating blank line.
struct stream_event {
  std::string Bytes;
  std::optional<std::uint64_t> Id;
};

/// Splits the bytes of a stream into complete server-sent events.
///
/// Failure: an endpoint crashes within an event and the stream resumes at
/// another endpoint, so the caller gets a partial event followed by another.
/// Only complete events are forwarded, so a resume starts at an event boundary.
class event_splitter {
public:
  void add(std::string_view Bytes) { Pending.append(Bytes); }
  /// The next complete event, if any.
  std::optional<stream_event> next();
  /// Number of buffered bytes that haven't been returned as events.
  std::size_t pending() const { return Pending.size() - Start; }
  void reset();

private:
  std::string Pending;
  std::size_t Start = 0;
  std::size_t Line = 0; ///< within the rest; all lines before were searched
};

} // namespace clementinelane
