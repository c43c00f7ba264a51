#include "log_stream.h"

#include <cpprest/asyncrt_utils.h>

namespace clementinelane::standin {

namespace {

std::uint64_t numberOf(const http_call &Call, std::string_view Name) {
  const std::string Text = Call.query(Name);
  return Text.empty() ? 0 : std::stoull(Text);
}

} // namespace

std::vector<http_route> log_stream::routes() {
  return {{"POST",
           {"v1", "streams", "*", "records"},
           [this](const auto &Call) { append(Call); }},
          {"GET",
           {"v1", "streams", "*", "records"},
           [this](const auto &Call) { read(Call); }},
          {"POST", {"faults"}, [this](const auto &Call) { setFault(Call); }},
          {"GET", {"healthz"}, [](const auto &Call) { Call->text("ok\n"); }}};
}

void log_stream::setFault(const std::shared_ptr<http_call> &Call) {
  const std::scoped_lock Lock(Mutex);
  Faults[Call->query("name")] = numberOf(*Call, "value");
  Call->text("ok\n");
}

void log_stream::append(const std::shared_ptr<http_call> &Call) {
  const std::scoped_lock Lock(Mutex);
  if (Faults["down"] != 0)
    return Call->fail(error_kind::LogUnavailable);
  stream &Stream = Streams[Call->Path[2]];
  Stream.Records.push_back(Call->Body);
  const std::uint64_t Offset = Stream.First + Stream.Records.size() - 1;
  if (Stream.Records.size() > Retention) {
    Stream.Records.pop_front();
    ++Stream.First;
  }
  Changed.notify_all();
  if (std::uint64_t &Lost = Faults["lose_answers"]; Lost > 0) {
    --Lost;
    return Call->fail(error_kind::Internal);
  }
  auto Body = web::json::value::object();
  Body["offset"] = web::json::value::number(Offset);
  Call->json(Body);
}

void log_stream::read(const std::shared_ptr<http_call> &Call) {
  const std::uint64_t From = numberOf(*Call, "from");
  const std::uint64_t Limit = numberOf(*Call, "limit");
  std::unique_lock Lock(Mutex);
  if (Faults["down"] != 0)
    return Call->fail(error_kind::LogUnavailable);
  stream &Stream = Streams[Call->Path[2]];
  Changed.wait_for(Lock, std::chrono::milliseconds(numberOf(*Call, "wait_ms")),
                   [&] { return From < Stream.First + Stream.Records.size(); });
  if (From < Stream.First)
    return Call->Writer->whole(410, {}, "");
  auto Records = web::json::value::array();
  const std::uint64_t Next = Stream.First + Stream.Records.size();
  for (std::uint64_t Offset = From; Offset < Next && Records.size() < Limit;
       ++Offset) {
    const std::string &Bytes = Stream.Records[Offset - Stream.First];
    auto Item = web::json::value::object();
    Item["offset"] = web::json::value::number(Offset);
    Item["data"] = web::json::value::string(utility::conversions::to_base64(
        std::vector<unsigned char>(Bytes.begin(), Bytes.end())));
    Records[Records.size()] = Item;
  }
  auto Body = web::json::value::object();
  Body["first"] = web::json::value::number(Stream.First);
  Body["next"] = web::json::value::number(Next);
  Body["records"] = Records;
  Call->json(Body);
}

} // namespace clementinelane::standin
