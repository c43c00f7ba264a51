#pragma once

#include "router_process.h"

#include <boost/test/unit_test.hpp>

namespace clementinelane {

/// While `Crowd` stays connected, ordinary callers, the load balancer and the
/// operator get answers, within the VM's limits.
inline void checkAnswers(router_process &Vm, crowd &Crowd) {
  process_peak Peak = play(Crowd, *Vm.Router, router_process::Ip);
  BOOST_TEST(Vm.Router->isRunning());
  BOOST_TEST(Vm.serveOrdinary(16));
  BOOST_TEST(Vm.isReady());
  BOOST_TEST(Vm.showsMetrics());
  Peak.sample(*Vm.Router, router_process::Ip);
  BOOST_TEST(Vm.Router->isRunning());
  BOOST_TEST(Peak.Bytes < router_process::MaxPeakBytes);
  BOOST_TEST(Peak.Descriptors < Vm.MaxDescriptors);
  BOOST_TEST_MESSAGE("peak " << Peak.Bytes / Megabyte << " MB, of these "
                             << Peak.Resident / Megabyte << " resident, "
                             << Peak.Descriptors << " descriptors");
}

} // namespace clementinelane
