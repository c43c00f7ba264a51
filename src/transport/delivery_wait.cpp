#include "transport/delivery_wait.h"

#include "config.h"

#include <utility>

namespace clementinelane {

void delivery_wait::start(state_query Query, handler Handler) {
  State = std::move(Query);
  Done = std::move(Handler);
  ChecksLeft = config::DeliveryTimeout / config::DeliveryCheckInterval;
  check();
}

void delivery_wait::cancel() {
  Timer.cancel();
  Done = nullptr;
  // Last, as it may hold the last reference to the owner of this object.
  const state_query Released = std::exchange(State, nullptr);
}

void delivery_wait::check() {
  const delivery_state Current = State();
  if (Current != delivery_state::Pending || ChecksLeft == 0) {
    // The query may hold the last reference to the owner of this object.
    const state_query Keep = std::move(State);
    const handler Handle = std::move(Done);
    cancel();
    Handle(Current);
    return;
  }
  --ChecksLeft;
  Timer.expires_after(config::DeliveryCheckInterval);
  Timer.async_wait(Life.guard([this](const boost::system::error_code &Error) {
    if (!Error && State)
      check();
  }));
}

} // namespace clementinelane
