#pragma once

#include "http_server.h"
#include "timers.h"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>

namespace clementinelane::standin {

/// A model engine: streams the words of its answer, one token each, at a
/// steady pace, and resumes from a token.
class model_engine {
public:
  explicit model_engine(std::chrono::microseconds TokenDelay)
      : TokenDelay(TokenDelay) {}
  std::vector<http_route> routes();

private:
  struct generation;
  void complete(const std::shared_ptr<http_call> &Call);
  void step(const std::shared_ptr<generation> &Generation);
  void answerCount(const std::shared_ptr<http_call> &Call);

  std::chrono::microseconds TokenDelay;
  std::mutex Mutex;
  std::map<std::string, std::uint64_t> Runs; ///< by version
  timer_service Timers;
};

} // namespace clementinelane::standin
