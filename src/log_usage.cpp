#include "log_usage.h"

#include "config.h"

namespace clementinelane {

log_usage_service::log_usage_service(append_log &Log)
    : Log(Log), Thread([this] { appendGroups(); }) {}

log_usage_service::~log_usage_service() {
  {
    const std::scoped_lock Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  Thread.join();
}

bool log_usage_service::hasRoom() const {
  const std::scoped_lock Lock(Mutex);
  return Waiting.size() < config::MaxUsageWaiting;
}

void log_usage_service::keep(const usage_record &Record,
                             std::function<void(std::error_code)> Done) {
  {
    const std::scoped_lock Lock(Mutex);
    Waiting.push_back({Record, std::move(Done)});
  }
  Changed.notify_one();
}

void log_usage_service::appendGroups() {
  for (;;) {
    std::vector<waiting_record> Group;
    {
      std::unique_lock Lock(Mutex);
      Changed.wait(Lock, [this] { return Stopping || !Waiting.empty(); });
      if (Waiting.empty())
        return;
      Group.swap(Waiting);
    }
    std::vector<usage_record> Records;
    Records.reserve(Group.size());
    for (const waiting_record &Each : Group)
      Records.push_back(Each.Record);
    msgpack::sbuffer Buffer;
    msgpack::pack(Buffer, Records);
    const auto Offset = Log.append(UsageStream, {Buffer.data(), Buffer.size()});
    const std::error_code Error = Offset ? std::error_code() : Offset.error();
    for (const waiting_record &Each : Group)
      Each.Done(Error);
  }
}

} // namespace clementinelane
