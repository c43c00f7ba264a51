#pragma once

#include "clock.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string_view>

namespace clementinelane {

/// Opens connections to see whether they are answered, and closes them at once.
/// Nothing is sent on them, so no caller's request and no place at an endpoint
/// is at stake.
class connect_probes {
public:
  explicit connect_probes(boost::asio::io_context &Context)
      : Context(Context) {}

  /// `OnAnswered` is called if the connection stands within `Timeout`; nothing
  /// is called otherwise.
  void start(std::string_view Address, duration Timeout,
             std::function<void()> OnAnswered);

private:
  boost::asio::io_context &Context;
};

} // namespace clementinelane
