#include "log_queue.h"

#include "config.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace clementinelane {

namespace {

/// Pending bytes above which the writer wakes up. The router writes many lines
/// to standard output, where each wake-up costs, so they are batched. The other
/// programs write few lines to standard error, and their readers need the
/// newest at once.
std::size_t batchBytes(int Descriptor) {
  return Descriptor == STDOUT_FILENO ? config::LogBatchBytes : 0;
}

} // namespace

log_queue::log_queue(int Descriptor)
    : Descriptor(Descriptor), Thread([this] { run(); }) {}

log_queue::~log_queue() {
  {
    const std::scoped_lock Lock(Mutex);
    IsStopping = true;
    Changed.notify_all();
  }
  Thread.join();
}

void log_queue::add(std::string Line, bool IsImportant) {
  const std::string Text = std::move(Line);
  const std::scoped_lock Lock(Mutex);
  const std::size_t Limit =
      IsImportant ? config::LogQueueBytes : config::LogQueueBytes / 2;
  if (Pending.size() + Text.size() > Limit) {
    ++Dropped;
    return;
  }
  Pending += Text;
  if (Pending.size() > batchBytes(Descriptor))
    Changed.notify_one();
}

bool log_queue::writeSome(std::string &Bytes) const {
  pollfd Poll{Descriptor, POLLOUT, 0};
  const int Ready =
      poll(&Poll, 1, static_cast<int>(config::LogPollTimeout.count()));
  if (Ready <= 0)
    return false;
  // A pipe that is ready for writing accepts PIPE_BUF bytes without blocking.
  const std::size_t Count = std::min<std::size_t>(Bytes.size(), PIPE_BUF);
  const ssize_t Written = write(Descriptor, Bytes.data(), Count);
  if (Written > 0)
    Bytes.erase(0, static_cast<std::size_t>(Written));
  else if (Written < 0 && errno != EAGAIN && errno != EINTR)
    Bytes.clear(); // the write can never succeed, e.g. the pipe is closed
  return Written > 0;
}

void log_queue::run() {
  std::string Bytes;
  std::chrono::milliseconds FlushElapsed{0};
  while (true) {
    bool IsLast = false;
    {
      std::unique_lock Lock(Mutex);
      if (Bytes.empty()) {
        Changed.wait_for(Lock, config::LogBatchDelay, [this] {
          return IsStopping || Pending.size() > batchBytes(Descriptor);
        });
        Bytes.swap(Pending);
      }
      IsLast = IsStopping;
    }
    const bool IsWritten = Bytes.empty() || writeSome(Bytes);
    if (!IsLast)
      continue;
    if (!IsWritten)
      FlushElapsed += config::LogPollTimeout;
    const std::scoped_lock Lock(Mutex);
    if ((Bytes.empty() && Pending.empty()) ||
        FlushElapsed >= config::LogFlushTimeout)
      return;
  }
}

} // namespace clementinelane
