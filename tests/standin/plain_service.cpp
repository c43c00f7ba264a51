#include "plain_service.h"

namespace clementinelane::standin {

std::vector<http_route> plain_service::routes() {
  return {{"GET", {"counts"}, [this](const auto &Call) { answerCount(Call); }},
          {"GET", {"healthz"}, [](const auto &Call) { Call->text("ok\n"); }},
          {"*", {"**"}, [this](const auto &Call) { run(Call); }}};
}

void plain_service::answerCount(const std::shared_ptr<http_call> &Call) {
  const std::scoped_lock Lock(Mutex);
  auto Body = web::json::value::object();
  for (const auto &[Key, Count] : Runs)
    Body[Key] = web::json::value::number(Count);
  Call->json(Body);
}

void plain_service::run(const std::shared_ptr<http_call> &Call) {
  const std::scoped_lock Lock(Mutex);
  const std::string Key = Call->header("Idempotency-Key");
  auto Body = web::json::value::object();
  Body["run"] = web::json::value::number(++Runs[Key]);
  Body["key"] = web::json::value::string(Key);
  Call->json(Body);
}

} // namespace clementinelane::standin
