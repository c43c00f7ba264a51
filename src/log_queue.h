#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace clementinelane {

/// A queue of log lines for a file descriptor, bounded in bytes.
///
/// If the reader of standard output stalls, the pipe fills up and writes block.
/// Only the queue's own thread writes, so requests never block on logging;
/// lines that don't fit are dropped and counted.
class log_queue {
public:
  explicit log_queue(int Descriptor);
  /// Flushes the queue for at most config::LogFlushTimeout.
  ~log_queue();
  log_queue(const log_queue &) = delete;
  log_queue &operator=(const log_queue &) = delete;

  /// Queues `Line` or drops it. Important lines may fill the whole queue,
  /// others half of it.
  void add(std::string Line, bool IsImportant);
  std::uint64_t dropped() const { return Dropped; }

private:
  void run();
  /// Writes at most PIPE_BUF bytes and removes them from `Bytes`. False if
  /// nothing was written: config::LogPollTimeout passed or the write failed.
  bool writeSome(std::string &Bytes) const;

  int Descriptor;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::string Pending;
  bool IsStopping = false;
  std::atomic<std::uint64_t> Dropped{0};
  std::thread Thread;
};

} // namespace clementinelane
