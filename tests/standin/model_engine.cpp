#include "model_engine.h"

#include <cpprest/json.h>

namespace clementinelane::standin {

struct model_engine::generation {
  std::shared_ptr<answer_writer> Writer;
  std::string Version;
  std::uint64_t Next = 0;
  std::uint64_t Count = 0;
  std::uint64_t PromptTokens = 0;
  std::atomic<bool> Gone{false};
};

namespace {

web::json::value makeEvent(const std::string &Version) {
  auto Choice = web::json::value::object();
  Choice["index"] = web::json::value::number(0);
  Choice["delta"] = web::json::value::object();
  Choice["finish_reason"] = web::json::value::null();
  auto Event = web::json::value::object();
  Event["object"] = web::json::value::string("chat.completion.chunk");
  Event["model"] = web::json::value::string(Version);
  Event["choices"] = web::json::value::array({Choice});
  return Event;
}

void writeEvent(answer_writer &Writer, const web::json::value &Event) {
  Writer.write("data: " + Event.serialize() + "\n\n");
}

constexpr std::uint64_t DefaultTokens = 16;

} // namespace

std::vector<http_route> model_engine::routes() {
  return {{"POST",
           {"v1", "chat", "completions"},
           [this](const auto &Call) { complete(Call); }},
          {"GET", {"counts"}, [this](const auto &Call) { answerCount(Call); }},
          {"GET", {"healthz"}, [](const auto &Call) { Call->text("ok\n"); }}};
}

void model_engine::answerCount(const std::shared_ptr<http_call> &Call) {
  const std::scoped_lock Lock(Mutex);
  auto Body = web::json::value::object();
  for (const auto &[Version, Count] : Runs)
    Body[Version] = web::json::value::number(Count);
  Call->json(Body);
}

void model_engine::complete(const std::shared_ptr<http_call> &Call) {
  const auto Json = web::json::value::parse(Call->Body);
  auto Generation = std::make_shared<generation>();
  Generation->Writer = Call->Writer;
  Generation->Version = Json.at("model").as_string();
  Generation->Count = Json.has_field("max_tokens")
                          ? Json.at("max_tokens").as_number().to_uint64()
                          : DefaultTokens;
  Generation->PromptTokens = Call->Body.size() / 4;
  if (Json.has_field("resume_from"))
    Generation->Next = Json.at("resume_from").as_number().to_uint64();
  {
    const std::scoped_lock Lock(Mutex);
    ++Runs[Generation->Version];
  }
  Call->Writer->onGone([Weak = std::weak_ptr(Generation)] {
    if (const auto Strong = Weak.lock())
      Strong->Gone = true;
  });
  const answer_header Type{"Content-Type", "text/event-stream"};
  Call->Writer->begin(200, {&Type, 1});
  step(Generation);
}

void model_engine::step(const std::shared_ptr<generation> &Generation) {
  if (Generation->Gone)
    return Generation->Writer->end();
  auto Event = makeEvent(Generation->Version);
  auto &Choice = Event["choices"][0];
  if (Generation->Next < Generation->Count) {
    const std::uint64_t Index = Generation->Next++;
    Event["token_index"] = web::json::value::number(Index);
    Choice["delta"]["content"] =
        web::json::value::string("w" + std::to_string(Index) + " ");
    writeEvent(*Generation->Writer, Event);
    Timers.after(TokenDelay, [this, Generation] { step(Generation); });
    return;
  }
  Choice["finish_reason"] = web::json::value::string("stop");
  Event["usage"]["prompt_tokens"] =
      web::json::value::number(Generation->PromptTokens);
  Event["usage"]["completion_tokens"] =
      web::json::value::number(Generation->Count);
  writeEvent(*Generation->Writer, Event);
  Generation->Writer->write("data: [DONE]\n\n");
  Generation->Writer->end();
}

} // namespace clementinelane::standin
