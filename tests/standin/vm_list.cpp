#include "vm_list.h"

#include <array>

namespace clementinelane::standin {

std::vector<http_route> vm_list::routes() {
  return {{"GET", {"v1", "vms"}, [this](const auto &Call) { list(Call); }},
          {"POST", {"vms"}, [this](const auto &Call) { set(Call); }},
          {"POST", {"faults"}, [this](const auto &Call) { setFault(Call); }},
          {"GET", {"healthz"}, [](const auto &Call) { Call->text("ok\n"); }}};
}

void vm_list::setFault(const std::shared_ptr<http_call> &Call) {
  const std::scoped_lock Lock(Mutex);
  if (Call->query("name") != "lag_ms")
    return Call->fail(error_kind::BadRequest);
  Lag = std::chrono::milliseconds(std::stoull(Call->query("value")));
  Call->text("ok\n");
}

void vm_list::set(const std::shared_ptr<http_call> &Call) {
  constexpr std::array<const char *, 5> Names{"name", "data_centre", "region",
                                              "address", "state"};
  const std::scoped_lock Lock(Mutex);
  change Change{std::chrono::steady_clock::now(), {}};
  for (const char *Name : Names)
    Change.Vm[Name] = Call->query(Name);
  Changes.push_back(std::move(Change));
  Call->text("ok\n");
}

void vm_list::list(const std::shared_ptr<http_call> &Call) {
  const std::scoped_lock Lock(Mutex);
  const auto Until = std::chrono::steady_clock::now() - Lag;
  std::map<std::string, const change *> Shown;
  for (const change &Change : Changes)
    if (Change.At <= Until)
      Shown[Change.Vm.at("name")] = &Change;
  auto Vms = web::json::value::array();
  for (const auto &[Name, Change] : Shown) {
    if (Change->Vm.at("state") == "gone")
      continue;
    auto Item = web::json::value::object();
    for (const auto &[Key, Value] : Change->Vm)
      Item[Key] = web::json::value::string(Value);
    Vms[Vms.size()] = Item;
  }
  auto Body = web::json::value::object();
  Body["vms"] = Vms;
  Call->json(Body);
}

} // namespace clementinelane::standin
