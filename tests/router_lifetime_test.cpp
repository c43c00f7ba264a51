#define BOOST_TEST_MODULE router_lifetime
#include "config.h"
#include "routers_fixture.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;

// A router is destroyed by a handler that runs just before its own tick, whose
// timer has expired. The tick must not run on the destroyed router.
BOOST_AUTO_TEST_CASE(expired_tick_of_a_destroyed_router_does_nothing) {
  routers_fixture Fixture(1, {});
  Fixture.startRouter();
  std::promise<void> Destroyed;
  boost::asio::steady_timer Timer(Fixture.Thread.Context);
  Fixture.Thread.run([&] {
    Timer.expires_after(1ms);
    Timer.async_wait([&](const boost::system::error_code &) {
      Fixture.Vms.back()->Platform->stop();
      Fixture.Vms.clear();
      Destroyed.set_value();
    });
    // Both timers expire before the context runs another handler.
    std::this_thread::sleep_for(2 * config::RouterTickInterval);
  });
  Destroyed.get_future().wait();
  bool IsContextAlive = false;
  Fixture.Thread.run([&] { IsContextAlive = true; });
  BOOST_TEST(IsContextAlive);
}
