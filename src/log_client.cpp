#include "log_client.h"

#include "config.h"
#include "http_fetch.h"

#include <cpprest/asyncrt_utils.h>
#include <cpprest/json.h>

namespace clementinelane {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusGone = 410;

std::error_code errorOf(unsigned Status) {
  return Status == StatusGone ? error_kind::LogExpired
                              : error_kind::LogUnavailable;
}

/// The JSON of an answer; an error unless it is whole and has status 200.
result<web::json::value> fetchJson(const fetch_request &Request) {
  const auto Answer = fetch(Request);
  if (!Answer)
    return error_kind::LogUnavailable;
  if (Answer->Head.Status != StatusOk)
    return errorOf(Answer->Head.Status);
  try {
    return web::json::value::parse(Answer->Body);
  } catch (const std::exception &) {
    return error_kind::LogUnavailable;
  }
}

/// What `Read` makes of the JSON of an answer.
template <typename Function>
auto readAnswer(const fetch_request &Request, Function Read)
    -> result<decltype(Read(web::json::value()))> {
  const auto Body = fetchJson(Request);
  if (!Body)
    return Body.error();
  try {
    return Read(Body.value());
  } catch (const std::exception &) {
    return error_kind::LogUnavailable;
  }
}

log_batch parseBatch(const web::json::value &Body) {
  log_batch Batch;
  Batch.First = Body.at("first").as_number().to_uint64();
  Batch.Next = Body.at("next").as_number().to_uint64();
  for (const web::json::value &Item : Body.at("records").as_array()) {
    const std::vector<unsigned char> Bytes =
        utility::conversions::from_base64(Item.at("data").as_string());
    Batch.Records.push_back({Item.at("offset").as_number().to_uint64(),
                             std::string(Bytes.begin(), Bytes.end())});
  }
  return Batch;
}

} // namespace

http_append_log::http_append_log(std::string_view Address) : Address(Address) {}

result<std::uint64_t> http_append_log::append(std::string_view Stream,
                                              std::string_view Bytes) {
  return readAnswer({Address,
                     "POST",
                     "/v1/streams/" + std::string(Stream) + "/records",
                     {{"Content-Type", "application/octet-stream"}},
                     std::string(Bytes),
                     config::LogCallTimeout},
                    [](const web::json::value &Body) {
                      return Body.at("offset").as_number().to_uint64();
                    });
}

result<log_batch> http_append_log::read(std::string_view Stream,
                                        std::uint64_t From,
                                        std::chrono::milliseconds Wait) {
  return readAnswer({Address,
                     "GET",
                     "/v1/streams/" + std::string(Stream) +
                         "/records?from=" + std::to_string(From) +
                         "&limit=" + std::to_string(config::LogReadBatch) +
                         "&wait_ms=" + std::to_string(Wait.count()),
                     {},
                     {},
                     config::LogCallTimeout},
                    parseBatch);
}

result<log_bounds> http_append_log::bounds(std::string_view Stream) {
  return readAnswer({Address,
                     "GET",
                     "/v1/streams/" + std::string(Stream),
                     {},
                     {},
                     config::LogCallTimeout},
                    [](const web::json::value &Body) {
                      return log_bounds{
                          Body.at("first").as_number().to_uint64(),
                          Body.at("next").as_number().to_uint64()};
                    });
}

} // namespace clementinelane
