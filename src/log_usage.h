#pragma once

#include "log_client.h"
#include "usage.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace clementinelane {

/// The stream that holds usage; each record is a list of usage_record.
constexpr std::string_view UsageStream = "usage";

/// Appends usage in groups; one append is under way at a time.
class log_usage_service final : public usage_service {
public:
  explicit log_usage_service(append_log &Log);
  ~log_usage_service() override;

  bool hasRoom() const override;
  void keep(const usage_record &Record,
            std::function<void(std::error_code)> Done) override;

private:
  struct waiting_record {
    usage_record Record;
    std::function<void(std::error_code)> Done;
  };
  void appendGroups();

  append_log &Log;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<waiting_record> Waiting;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace clementinelane
