#include "run_notes.h"

#include "config.h"

namespace clementinelane {

void run_notes::add(std::string_view Service, const session_run &Run) {
  if (Untold.size() < config::MaxUntoldRuns)
    Untold.emplace_back(digestHash(Service), Run);
}

std::vector<session_note> run_notes::take(mono_time Now) {
  std::vector<session_note> Notes;
  while (!Untold.empty() && Notes.size() < config::MaxDigestSessions) {
    const auto &[Service, Run] = Untold.front();
    Notes.push_back(
        {Service, Run.Session, Run.Version,
         std::chrono::ceil<std::chrono::milliseconds>(Now - Run.LastAt)});
    Untold.pop_front();
  }
  return Notes;
}

} // namespace clementinelane
