#pragma once

#include <memory>
#include <utility>

namespace clementinelane {

/// Guards callbacks of its owner: a completed operation may already be queued
/// when the owner is destroyed, and can't be cancelled then.
class lifetime {
public:
  /// Wraps a callback so that it does nothing once this object is destroyed.
  template <typename Function> auto guard(Function Do) const {
    return [Weak = std::weak_ptr(Life),
            Do = std::move(Do)](auto &&...Arguments) mutable {
      if (!Weak.expired())
        Do(std::forward<decltype(Arguments)>(Arguments)...);
    };
  }

private:
  std::shared_ptr<const bool> Life = std::make_shared<const bool>(true);
};

} // namespace clementinelane
