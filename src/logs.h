#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace clementinelane::logs {

/// One key and value of a log line.
using field = std::pair<std::string_view, std::string>;

/// Sets up log4cplus; `Format` is "keyvalue" or "json". Lines go to standard
/// error, with `Program` and `Vm` in each.
void init(std::string_view Program, std::string_view Vm,
          std::string_view Format);

/// A routing or placement decision: what was asked, what was chosen and why.
void decision(std::string_view Event, std::initializer_list<field> Fields);
/// Something an operator may want to know.
void info(std::string_view Event, std::initializer_list<field> Fields);
/// Something an operator must know.
void warning(std::string_view Event, std::initializer_list<field> Fields);

} // namespace clementinelane::logs
