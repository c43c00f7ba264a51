#pragma once

#include "clock.h"
#include "link.h"
#include "peers.h"
#include "session_directory.h"
#include "timers.h"

#include <functional>
#include <memory>

namespace clementinelane {

/// Link path of calls between replicas of sessions.
constexpr std::string_view SessionPath = "/session";

struct session_links {
  const runtime_clock &Clock;
  timer_service &Timers;
  link_client &Link;
  const peer_source &Peers;
};

/// Receives the binding, nothing after a lookup of an unknown session, or
/// SessionStateUnavailable.
using bind_callback =
    std::function<void(result<std::optional<session_binding>>)>;

/// Runs the session_directory of one VM: performs its calls and timers.
class session_service {
public:
  session_service(const session_links &Links, peer_info Self);
  ~session_service();

  /// Starts to track peers; call it once they are known. Before that this VM
  /// doesn't vote or bind sessions.
  void start();
  /// Looks up the session's binding, or binds it to `Claim`. Calls `Done`
  /// exactly once, from any thread.
  void bind(session_claim Claim, bind_callback Done);
  /// Handles another VM's call of SessionPath.
  void serve(std::string_view Body, link_reply Reply);
  std::size_t size() const;

private:
  class impl;
  std::shared_ptr<impl> Impl;
};

} // namespace clementinelane
