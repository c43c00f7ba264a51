#pragma once

#include "http_server.h"

#include <map>
#include <mutex>

namespace clementinelane::standin {

/// A plain service whose calls may not be repeated; GET /counts says how often
/// each Idempotency-Key ran.
class plain_service {
public:
  std::vector<http_route> routes();

private:
  void run(const std::shared_ptr<http_call> &Call);
  void answerCount(const std::shared_ptr<http_call> &Call);

  std::mutex Mutex;
  std::map<std::string, std::uint64_t> Runs;
};

} // namespace clementinelane::standin
