#include "entry.h"

#include "change.h"
#include "config.h"
#include "logs.h"

#include <random>

namespace clementinelane {

namespace {

constexpr auto DrainPoll = std::chrono::milliseconds(20);

header_lookup headersOf(const std::shared_ptr<http_call> &Call) {
  return [Call](std::string_view Name) { return Call->header(Name); };
}

} // namespace

entry::entry(const settings &Settings, const runtime_clock &Clock)
    : Settings(Settings), Clock(Clock),
      Rater(Settings.RaterAddress, Config, Quality),
      Tokens(Settings.SessionKeys),
      Placer(Settings.VmName, Settings.DataCentre, std::random_device{}()),
      Admission(
          Clock,
          [this](std::string_view Pool) {
            const configuration_ptr Current = Config.get();
            return Current ? Placer.capacity(*Current, Pool, this->Clock.now())
                           : pool_capacity{};
          },
          fleet_quota(Settings.VmName, std::random_device{}(),
                      Settings.Seeds.size())),
      Log(Settings.LogAddress), Intents(Log), Usage(Log), Transport(Timers),
      Server(Settings.Address + ":" + std::to_string(Settings.EntryPort),
             routes()) {}

entry::~entry() {
  Draining = true;
  if (Follower.joinable())
    Follower.join();
}

void entry::open() {
  Server.open();
  Follower = std::thread([this] { followControl(); });
  tickAdmission();
  exchangeQuota();
}

void entry::tickAdmission() {
  Admission.tick();
  Timers.after(config::AdmissionTick, [this] { tickAdmission(); });
}

void entry::exchangeQuota() {
  Admission.exchangeQuota();
  Timers.after(config::QuotaExchange, [this] { exchangeQuota(); });
}

void entry::drain() {
  Draining = true;
  logs::info("drain", {{"open", std::to_string(Open.load())}});
  while (Open.load() > 0)
    std::this_thread::sleep_for(DrainPoll);
  Server.close();
}

std::vector<http_route> entry::routes() {
  const auto To = [this](void (entry::*Answer)(
                      const std::shared_ptr<http_call> &)) -> http_handler {
    return [this, Answer](const std::shared_ptr<http_call> &Call) {
      (this->*Answer)(Call);
    };
  };
  return {
      {"POST", {"v1", "chat", "completions"}, To(&entry::answerChat)},
      {"GET", {"v1", "models"}, To(&entry::answerModels)},
      {"*", {"services", "*", "**"}, To(&entry::answerService)},
      {"GET",
       {"healthz"},
       [](const std::shared_ptr<http_call> &Call) { Call->text("ok\n"); }},
      {"GET", {"readyz"}, To(&entry::answerReady)},
      {"GET", {"metrics"}, To(&entry::answerMetrics)},
  };
}

void entry::run(const std::shared_ptr<http_call> &Call,
                result<caller_request> Request) {
  ++Taken;
  if (Draining)
    return Call->fail(error_kind::Draining);
  if (!Request)
    return Call->fail(kindOf(Request.error()));
  const request_services Services{
      Clock, Config, Quality,   Tokens, Admission,       Placer, Intents,
      Usage, Rater,  Transport, Timers, Settings.VmName, Open,   Retries};
  runRequest(Services, std::move(Request).value(), Call->Writer);
}

void entry::answerChat(const std::shared_ptr<http_call> &Call) {
  run(Call, parseChatRequest(headersOf(Call), std::move(Call->Body)));
}

void entry::answerService(const std::shared_ptr<http_call> &Call) {
  std::string Path;
  for (std::size_t Index = 2; Index < Call->Path.size(); ++Index)
    Path += "/" + web::uri::encode_data_string(Call->Path[Index]);
  if (const std::string Query = Call->Request.request_uri().query();
      !Query.empty())
    Path += "?" + Query;
  run(Call, parseServiceRequest(headersOf(Call), Call->Path[1], Path,
                                Call->Request.method(), std::move(Call->Body)));
}

void entry::answerModels(const std::shared_ptr<http_call> &Call) {
  const configuration_ptr Current = Config.get();
  if (!Current)
    return Call->fail(error_kind::NotReady);
  const std::string Header = Call->header("Authorization");
  constexpr std::string_view Bearer = "Bearer ";
  if (Header.empty())
    return Call->fail(error_kind::KeyMissing);
  const customer_spec *Customer =
      Header.compare(0, Bearer.size(), Bearer) == 0
          ? findCustomer(*Current, Header.substr(Bearer.size()))
          : nullptr;
  if (!Customer)
    return Call->fail(error_kind::KeyWrong);
  auto List = web::json::value::array();
  for (const auto &[Name, Version] : Current->Versions) {
    if (!isAllowed(*Customer, Version) ||
        Version.State != version_state::Active)
      continue;
    auto Item = web::json::value::object();
    Item["id"] = web::json::value::string(Name);
    Item["object"] = web::json::value::string("model");
    Item["owned_by"] = web::json::value::string(Version.Model);
    List[List.size()] = Item;
  }
  auto Body = web::json::value::object();
  Body["object"] = web::json::value::string("list");
  Body["data"] = List;
  Call->json(Body);
}

void entry::answerReady(const std::shared_ptr<http_call> &Call) {
  const configuration_ptr Current = Config.get();
  if (!Current)
    return Call->fail(error_kind::NotReady);
  if (Draining)
    return Call->fail(error_kind::Draining);
  Call->text("ready offset=" + std::to_string(Current->Offset) + "\n");
}

void entry::answerMetrics(const std::shared_ptr<http_call> &Call) {
  Call->text("clementine_open_requests " + std::to_string(Open.load()) +
             "\nclementine_requests_total " + std::to_string(Taken.load()) +
             "\n");
}

// Guard: control may be away for long. It shows as failed calls here; the last
// configuration stays in force, and the next answer of control replaces it.
void entry::followControl() {
  const std::string Control =
      Settings.Address + ":" + std::to_string(Settings.LinkPort);
  std::uint64_t Known = 0;
  while (!Draining) {
    const auto Reply = Link.callSync(Control, "/state", std::to_string(Known),
                                     config::LinkCallTimeout);
    const auto State = Reply ? decodeState(Reply.value())
                             : result<config_state>(Reply.error());
    if (!State) {
      std::this_thread::sleep_for(config::ReconnectDelay);
      continue;
    }
    if (State.value().Accepted <= Known)
      continue;
    const auto Parsed =
        parseConfiguration(filesOf(State.value()), State.value().Accepted);
    if (!Parsed.Config) {
      logs::warning("configuration_unreadable",
                    {{"error", formatError(Parsed.Errors.front())}});
      std::this_thread::sleep_for(config::ReconnectDelay);
      continue;
    }
    Known = State.value().Accepted;
    Config.set(Parsed.Config);
    Quality.follow(*Parsed.Config);
    logs::info("configuration", {{"offset", std::to_string(Known)}});
  }
}

} // namespace clementinelane
