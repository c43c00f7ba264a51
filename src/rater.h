#pragma once

#include "config_source.h"
#include "quality.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace clementinelane {

/// An answer sent to the rating service.
struct rating_sample {
  std::string RequestId;
  std::string Customer;
  std::string Work;
  std::string Version;
  std::string Answer;
  double Confidence = -1;
};

/// Sends samples to the platform's rating service and reads its ratings:
///   POST /v1/ratings  {"request_id","customer","work","version","answer",
///                      "confidence"} -> 202
///   GET  /v1/ratings?from=n -> {"next": n, "ratings": [{"request_id",
///                      "customer","work","version","score","confidence"}]}
/// Samples are dropped when the service is slow or unavailable: ratings are
/// statistical, and no request waits for them.
class rater_client {
public:
  /// An empty `Address` disables ratings.
  rater_client(std::string_view Address, const config_source &Config,
               quality_table &Table);
  ~rater_client();
  rater_client(const rater_client &) = delete;
  rater_client &operator=(const rater_client &) = delete;

  void enqueue(rating_sample Sample);

private:
  void sendSamples();
  void readRatings();
  bool waitForNextPoll();

  std::string Address;
  const config_source &Config;
  quality_table &Table;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<rating_sample> Samples;
  bool Stopping = false;
  std::thread Sender;
  std::thread Reader;
};

} // namespace clementinelane
