#include "command.h"

#include "request_trace.h"

#include <array>
#include <fstream>
#include <iostream>

namespace clementinelane::ctl {

namespace {

/// Adds the lines of a log file; reports only the first line that is not a
/// valid JSON log line.
bool readLog(const std::string &Path, request_trace &Trace) {
  std::ifstream File(Path);
  if (!File) {
    fail(ExitRefused, Path + ": cannot be read");
    return false;
  }
  std::string Line;
  std::size_t Number = 0;
  std::size_t InvalidLines = 0;
  while (std::getline(File, Line)) {
    ++Number;
    if (!Line.empty() && !Trace.add(Line) && ++InvalidLines == 1)
      fail(ExitDone, Path + ":" + std::to_string(Number) +
                         ": passed over, not a log line in JSON");
  }
  return true;
}

int trace(arguments Args) {
  request_trace Trace(Args[0]);
  for (const std::string &Path : Args.subspan(1))
    if (!readLog(Path, Trace))
      return ExitRefused;
  const auto Lines = Trace.lines();
  if (Lines.empty())
    return fail(ExitRefused, "no line names the request " + Args[0]);
  for (const trace_line &Line : Lines)
    std::cout << formatLine(Line) << '\n';
  return ExitDone;
}

constexpr std::size_t MaxFiles = 1000;
constexpr std::array<command, 1> Commands{
    {{"trace", 2, MaxFiles, trace,
      "trace ID FILE...               a request's story from the logs of "
      "VMs"}}};

} // namespace

std::span<const command> logCommands() { return Commands; }

} // namespace clementinelane::ctl
