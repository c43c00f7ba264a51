#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// One log line of a request's trace.
struct trace_line {
  std::uint64_t TimeMs = 0; ///< by the VM's clock, since 1970
  std::string Vm;
  std::string Event;
  std::string Details; ///< "key=value" pairs, as logged
};

/// Collects the log lines of one request from several VMs: its own lines, and
/// state changes on the VMs that handled it during the request or shortly
/// before, such as a lost store connection or an endpoint that left.
class request_trace {
public:
  explicit request_trace(std::string Id) : Id(std::move(Id)) {}

  /// Parses one log line. Returns false if it isn't in the project's log
  /// format.
  bool add(std::string_view Line);
  /// Sorted by time; empty if no line names the request.
  std::vector<trace_line> lines() const;

private:
  struct context_line {
    trace_line Line;
    std::string Endpoint; ///< the endpoint that changed, if any
  };

  std::string Id;
  std::vector<trace_line> OwnLines;
  std::vector<std::string> Endpoints; ///< named by the request's own lines
  std::vector<context_line> ContextLines;
};

/// "12:00:03.250 vm-1 refuse kind=no_endpoint status=503".
std::string formatLine(const trace_line &Line);

} // namespace clementinelane
