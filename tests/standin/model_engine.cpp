#include "model_engine.h"

#include "config.h"

#include <algorithm>
#include <array>
#include <cpprest/json.h>
#include <functional>

namespace clementinelane::standin {

struct model_engine::generation {
  std::shared_ptr<answer_writer> Writer;
  std::string Version;
  std::uint64_t Next = 0;
  std::uint64_t Count = 0;
  std::uint64_t PromptTokens = 0;
  std::uint64_t DieAfter = 0;
  bool Trickles = false;
  std::atomic<bool> Gone{false};
  std::function<void()> OnEnd;
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
/// Delay until a change of load shows in the reported load.
constexpr auto LoadReportDelay = std::chrono::milliseconds(500);
constexpr auto TrickleInterval = std::chrono::milliseconds(100);

struct fault_name {
  std::string_view Name;
  std::uint64_t engine_faults::*Field;
};

constexpr std::array<fault_name, 9> FaultNames{{
    {"die_after", &engine_faults::DieAfter},
    {"silent", &engine_faults::Silent},
    {"slow_start", &engine_faults::SlowStart},
    {"repeat_tokens", &engine_faults::RepeatTokens},
    {"skip_tokens", &engine_faults::SkipTokens},
    {"refuse", &engine_faults::Refuse},
    {"leaving", &engine_faults::Leaving},
    {"trickle", &engine_faults::Trickle},
    {"fenced", &engine_faults::Fenced},
}};

std::uint64_t numberOr(const web::json::value &Json, const std::string &Name,
                       std::uint64_t Fallback) {
  return Json.has_field(Name) ? Json.at(Name).as_number().to_uint64()
                              : Fallback;
}

std::string textOr(const web::json::value &Json, const std::string &Name) {
  return Json.has_string_field(Name) ? Json.at(Name).as_string() : "";
}

std::string generationId(const web::json::value &Json) {
  return textOr(Json, "request_id") + "#" +
         std::to_string(numberOr(Json, "attempt", 0));
}

} // namespace

std::vector<http_route> model_engine::routes() {
  const auto To = [this](void (model_engine::*Answer)(const call_ptr &)) {
    return [this, Answer](const call_ptr &Call) { (this->*Answer)(Call); };
  };
  return {{"POST", {"v1", "chat", "completions"}, To(&model_engine::complete)},
          {"POST", {"v1", "cancel"}, To(&model_engine::cancel)},
          {"POST", {"faults"}, To(&model_engine::setFault)},
          {"POST", {"orders"}, To(&model_engine::handleOrder)},
          {"GET", {"orders"}, To(&model_engine::answerOrders)},
          {"GET", {"load"}, To(&model_engine::answerLoad)},
          {"GET", {"counts"}, To(&model_engine::answerCount)},
          {"GET", {"healthz"}, [this](const call_ptr &Call) {
             const std::scoped_lock Lock(Mutex);
             const answer_header Leaving{"X-Leaving",
                                         Faults.Leaving ? "true" : "false"};
             Call->Writer->sendComplete(200, {&Leaving, 1}, "ok\n");
           }}};
}

void model_engine::setFault(const call_ptr &Call) {
  const std::string Name = Call->query("name");
  const auto *Found =
      std::find_if(FaultNames.begin(), FaultNames.end(),
                   [&](const fault_name &Each) { return Each.Name == Name; });
  if (Found == FaultNames.end())
    return Call->fail(error_kind::BadRequest);
  const std::scoped_lock Lock(Mutex);
  Faults.*Found->Field = std::stoull(Call->query("value"));
  Call->text("ok\n");
}

void model_engine::cancel(const call_ptr &Call) {
  const auto Id = generationId(web::json::value::parse(Call->Body));
  const std::scoped_lock Lock(Mutex);
  const auto Node = Running.extract(Id);
  // Generations that ended by themselves aren't listed any more.
  if (!Node.empty())
    ++Cancelled;
  if (const auto Generation = Node.empty() ? nullptr : Node.mapped().lock())
    Generation->Gone = true;
  Call->text("ok\n");
}

void model_engine::handleOrder(const call_ptr &Call) {
  const auto Json = web::json::value::parse(Call->Body);
  const std::uint64_t Number = numberOr(Json, "fence", 0);
  const std::string Order = textOr(Json, "engine_order");
  const std::scoped_lock Lock(Mutex);
  if (Faults.Fenced && Number < Fence)
    return Call->fail(error_kind::Fenced);
  Fence = std::max(Fence, Number);
  if (Order == "load")
    Loaded.insert(textOr(Json, "version"));
  else if (Order == "unload")
    Loaded.erase(textOr(Json, "version"));
  else if (Order == "role")
    Role = textOr(Json, "role");
  else
    return Call->fail(error_kind::BadRequest);
  Call->text("ok\n");
}

void model_engine::answerOrders(const call_ptr &Call) {
  const std::scoped_lock Lock(Mutex);
  auto Body = web::json::value::object();
  Body["fence"] = web::json::value::number(Fence);
  Body["role"] = web::json::value::string(Role);
  Body["versions"] = web::json::value::array();
  for (const std::string &Version : Loaded)
    Body["versions"][Body["versions"].size()] =
        web::json::value::string(Version);
  Call->json(Body);
}

void model_engine::answerLoad(const call_ptr &Call) {
  const std::scoped_lock Lock(Mutex);
  auto Body = web::json::value::object();
  Body["running"] = web::json::value::number(ReportedLoad);
  Call->json(Body);
}

void model_engine::answerCount(const call_ptr &Call) {
  const std::scoped_lock Lock(Mutex);
  auto Body = web::json::value::object();
  for (const auto &[Version, Count] : Runs)
    Body[Version] = web::json::value::number(Count);
  for (const auto &[Priority, Count] : Priorities)
    Body["priority_" + Priority] = web::json::value::number(Count);
  Body["cancelled"] = web::json::value::number(Cancelled);
  Call->json(Body);
}

/// Consumes one occurrence of a fault that is counted in requests; false if
/// none is left.
bool model_engine::consumeFault(std::uint64_t engine_faults::*Fault) {
  if (Faults.*Fault == 0)
    return false;
  --(Faults.*Fault);
  return true;
}

void model_engine::complete(const call_ptr &Call) {
  const auto Json = web::json::value::parse(Call->Body);
  auto Generation = std::make_shared<generation>();
  Generation->Writer = Call->Writer;
  Generation->Version = Json.at("model").as_string();
  Generation->Count = numberOr(Json, "max_tokens", DefaultTokens);
  Generation->PromptTokens = Call->Body.size() / 4;
  Generation->Next = numberOr(Json, "resume_from", 0);
  std::vector<answer_header> Headers{{"Content-Type", "text/event-stream"}};
  std::chrono::microseconds Start = TokenDelay;
  {
    const std::scoped_lock Lock(Mutex);
    if (Faults.Leaving)
      Headers.emplace_back("X-Leaving", "true");
    if (consumeFault(&engine_faults::Refuse))
      return Call->Writer->sendComplete(503, Headers, "");
    // Keeps the request and its connection open without sending a byte.
    if (consumeFault(&engine_faults::Silent))
      return static_cast<void>(Timers.after(config::MaxDeadline, [Call] {}));
    if (Generation->Next > 0) {
      Generation->Next -= std::min(Generation->Next, Faults.RepeatTokens);
      Generation->Next += Faults.SkipTokens;
    }
    if (Faults.DieAfter > 0)
      Generation->DieAfter = Generation->Next + Faults.DieAfter;
    Generation->Trickles = consumeFault(&engine_faults::Trickle);
    Start = std::chrono::milliseconds(Faults.SlowStart);
    ++Runs[Generation->Version];
    ++Priorities[textOr(Json, "priority")];
    Running[generationId(Json)] = Generation;
    const auto Load = static_cast<std::size_t>(
        std::count_if(Running.begin(), Running.end(), [](const auto &Entry) {
          return !Entry.second.expired();
        }));
    Timers.after(LoadReportDelay, [this, Load] {
      const std::scoped_lock Later(Mutex);
      ReportedLoad = Load;
    });
  }
  const std::string Id = generationId(Json);
  Generation->OnEnd = [this, Id] {
    const std::scoped_lock Lock(Mutex);
    Running.erase(Id);
  };
  Call->Writer->onDisconnect([Weak = std::weak_ptr(Generation)] {
    if (const auto Strong = Weak.lock())
      Strong->Gone = true;
  });
  Call->Writer->begin(200, Headers);
  Timers.after(Start, [this, Generation] { step(Generation); });
}

void model_engine::finish(const std::shared_ptr<generation> &Generation) {
  // One whose caller left stays listed: a cancel call for it may follow.
  if (!Generation->Gone)
    Generation->OnEnd();
  Generation->Writer->end();
}

void model_engine::step(const std::shared_ptr<generation> &Generation) {
  if (Generation->Gone)
    return finish(Generation);
  if (Generation->Trickles) {
    Generation->Writer->write(": waiting\n\n");
    Timers.after(TrickleInterval, [this, Generation] { step(Generation); });
    return;
  }
  // Ends without the final event, as a crashed engine would.
  if (Generation->DieAfter > 0 && Generation->Next >= Generation->DieAfter)
    return finish(Generation);
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
  finish(Generation);
}

} // namespace clementinelane::standin
