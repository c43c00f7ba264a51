#include "rater.h"

#include "config.h"
#include "http_fetch.h"
#include "logs.h"

#include <cpprest/json.h>

namespace clementinelane {

namespace {

constexpr unsigned StatusOk = 200;

web::json::value toJson(const rating_sample &Sample) {
  auto Json = web::json::value::object();
  Json["request_id"] = web::json::value::string(Sample.RequestId);
  Json["customer"] = web::json::value::string(Sample.Customer);
  Json["work"] = web::json::value::string(Sample.Work);
  Json["version"] = web::json::value::string(Sample.Version);
  Json["answer"] = web::json::value::string(Sample.Answer);
  Json["confidence"] = web::json::value::number(Sample.Confidence);
  return Json;
}

answer_rating parseRating(const web::json::value &Json) {
  answer_rating Rating;
  Rating.RequestId = Json.at("request_id").as_string();
  Rating.Customer = Json.at("customer").as_string();
  Rating.Work = Json.at("work").as_string();
  Rating.Version = Json.at("version").as_string();
  Rating.Score = Json.at("score").as_double();
  if (Json.has_number_field("confidence"))
    Rating.Confidence = Json.at("confidence").as_double();
  return Rating;
}

} // namespace

rater_client::rater_client(std::string_view Address,
                           const config_source &Config, quality_table &Table)
    : Address(Address), Config(Config), Table(Table) {
  if (Address.empty())
    return;
  Sender = std::thread([this] { sendSamples(); });
  Reader = std::thread([this] { readRatings(); });
}

rater_client::~rater_client() {
  {
    const std::scoped_lock Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  for (std::thread *Each : {&Sender, &Reader})
    if (Each->joinable())
      Each->join();
}

void rater_client::enqueue(rating_sample Sample) {
  const std::scoped_lock Lock(Mutex);
  if (Address.empty() || Samples.size() >= config::MaxQueuedSamples)
    return;
  Samples.push_back(std::move(Sample));
  Changed.notify_all();
}

void rater_client::sendSamples() {
  for (;;) {
    rating_sample Sample;
    {
      std::unique_lock Lock(Mutex);
      Changed.wait(Lock, [this] { return Stopping || !Samples.empty(); });
      if (Stopping)
        return;
      Sample = std::move(Samples.front());
      Samples.pop_front();
    }
    if (!fetch({Address,
                "POST",
                "/v1/ratings",
                {{"Content-Type", "application/json"}},
                toJson(Sample).serialize(),
                config::RaterCallTimeout}))
      logs::info("sample_lost", {{"request", Sample.RequestId}});
  }
}

bool rater_client::waitForNextPoll() {
  std::unique_lock Lock(Mutex);
  return !Changed.wait_for(Lock, config::RatingPollInterval,
                           [this] { return Stopping; });
}

void rater_client::readRatings() {
  std::uint64_t Next = 0;
  while (waitForNextPoll()) {
    const configuration_ptr Current = Config.get();
    if (!Current)
      continue;
    Table.updateRollouts(*Current);
    // Keeps the current ratings while the service is unavailable; they decay
    // only with new ones.
    const auto Answer = fetch({Address,
                               "GET",
                               "/v1/ratings?from=" + std::to_string(Next),
                               {},
                               {},
                               config::RaterCallTimeout});
    if (!Answer || Answer->Head.Status != StatusOk)
      continue;
    try {
      const auto Body = web::json::value::parse(Answer->Body);
      for (const auto &Item : Body.at("ratings").as_array())
        Table.add(*Current, parseRating(Item));
      Next = Body.at("next").as_number().to_uint64();
    } catch (const std::exception &) {
      logs::info("ratings_unreadable", {{"from", std::to_string(Next)}});
    }
  }
}

} // namespace clementinelane
