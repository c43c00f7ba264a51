#define BOOST_TEST_MODULE service_shares_large
#include "share_model.h"

using namespace clementinelane;

BOOST_AUTO_TEST_CASE(shares_hold_with_1100_vms) {
  checkFleet(1100, false);
  checkFleet(1100, true);
}
