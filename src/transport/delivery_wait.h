#pragma once

#include "lifetime.h"
#include "sockets.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace clementinelane {

/// Watches, after the other end has closed a connection, what becomes of the
/// bytes that were written to it.
///
/// Failure: a process is killed amid its answer while a request is written to
/// it. Its system ends the connection as in an orderly close, and only then
/// refuses the rest of the request. Without that, an answer that lasts until
/// the close would be taken for whole.
class delivery_wait {
public:
  using state_query = std::function<delivery_state()>;
  /// Pending: neither delivered nor lost within config::DeliveryTimeout.
  using handler = std::function<void(delivery_state)>;

  explicit delivery_wait(const boost::asio::any_io_executor &Executor)
      : Timer(Executor) {}

  /// Asks `State` until it isn't pending, then calls the handler, possibly
  /// before this returns.
  void start(state_query State, handler Done);
  /// No handler is called afterwards.
  void cancel();

private:
  void check();

  boost::asio::steady_timer Timer;
  unsigned ChecksLeft = 0;
  state_query State;
  handler Done;
  lifetime Life;
};

} // namespace clementinelane
