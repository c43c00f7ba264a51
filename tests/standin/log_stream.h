#pragma once

#include "http_server.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

namespace clementinelane::standin {

/// The platform's log: streams with offsets and limited retention.
/// Faults, by POST /faults?name=..&value=..: `down` (1: refuses all),
/// `lose_answers` (the next n appends take effect and answer 500).
class log_stream {
public:
  explicit log_stream(std::uint64_t Retention) : Retention(Retention) {}
  std::vector<http_route> routes();

private:
  struct stream {
    std::uint64_t First = 0;
    std::deque<std::string> Records;
  };
  void append(const std::shared_ptr<http_call> &Call);
  void read(const std::shared_ptr<http_call> &Call);
  void setFault(const std::shared_ptr<http_call> &Call);

  std::uint64_t Retention;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, stream> Streams;
  std::map<std::string, std::uint64_t> Faults;
};

} // namespace clementinelane::standin
