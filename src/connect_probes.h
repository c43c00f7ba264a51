#pragma once

#include "clock.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string_view>

namespace clementinelane {

/// Opens connections to see whether they are answered, and closes them at once.
/// Nothing is sent on them, so no caller's request and no place at an endpoint
/// is at stake.
class connect_probes {
public:
  explicit connect_probes(boost::asio::io_context &Context)
      : Context(Context) {}

  /// `OnDone` is called once: whether the connection stood within `Timeout`.
  void start(std::string_view Address, duration Timeout,
             std::function<void(bool IsAnswered)> OnDone);

private:
  boost::asio::io_context &Context;
  /// Probes under way call nobody once this is gone.
  std::shared_ptr<const bool> Life = std::make_shared<const bool>(true);
};

} // namespace clementinelane
