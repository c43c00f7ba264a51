#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace clementinelane::logs {

/// One key and value of a log line.
using field = std::pair<std::string_view, std::string>;

/// The output stream of log lines.
enum class sink { StandardError, StandardOutput };

/// Sets up log4cplus; `Format` is "keyvalue" or "json". `Program` and `Vm` are
/// added to each line. A separate thread writes queued lines, so a stalled
/// reader never blocks a request; when the queue is full, lines are dropped,
/// decisions first.
void init(std::string_view Program, std::string_view Vm,
          std::string_view Format, sink Sink = sink::StandardError);

/// Lines dropped since the process started.
std::uint64_t dropped();

/// Logs a routing or placement decision: the request, the choice and the
/// reason.
void decision(std::string_view Event, std::initializer_list<field> Fields);
/// Logs an event that needs no action by the operator.
void info(std::string_view Event, std::initializer_list<field> Fields);
/// Logs an event that the operator should act on.
void warning(std::string_view Event, std::initializer_list<field> Fields);

} // namespace clementinelane::logs
