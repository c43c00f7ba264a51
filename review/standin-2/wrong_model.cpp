// One caller names a model that the route doesn't have, some dozens of times.
// Other callers' requests on the route follow, and must still be answered.
#include "kit.h"

namespace {

constexpr int Runners = 18;
constexpr int WrongRequests = 30;
constexpr long WatchMs = 40000;

} // namespace

int main(int, char **Args) {
  using namespace kit;
  if (!prepare(Args[1]))
    return 2;
  const std::string Folder = temporaryFolder();
  store Store;
  if (Folder.empty() || !Store.start(ip(9, 1)))
    return 2;
  Store.put("keyed.op", "config", configuration({"shop", "other"}));
  std::vector<runner> Pool(Runners);
  for (int Each = 0; Each < Runners; ++Each) {
    runner &One = Pool[static_cast<std::size_t>(Each)];
    One.Id = "engine-" + std::to_string(Each);
    One.Service = "recon";
    One.Zone = Each % 2 == 0 ? "hall-a" : "hall-b";
    One.Models = {"small", "middle", "large"};
    One.Work = streamWork(10, 20);
    if (!One.start(Store, ip(5, 1 + Each)))
      return 2;
  }
  router Router;
  if (!Router.start(Folder, "vm-1", ip(1, 1), Store.At) ||
      !Router.waitReady(15000)) {
    note("the router isn't ready");
    Router.end();
    return 2;
  }
  std::this_thread::sleep_for(2s);
  const std::string Parts = "5c1e07a2:2800,91bd3f06:1100,e4402b7d:100";
  int Number = 0;
  const auto Ordinary = [&] {
    const std::string Id = "o" + std::to_string(++Number);
    const reply Reply = call(
        Router.Callers, matchRequest(Id, "shop", "*", "4000,80", Parts), 5000);
    std::string Tail = Reply.Answer.Body.substr(0, 60);
    for (char &Each : Tail)
      Each = Each < ' ' ? ' ' : Each;
    note("ordinary %s: %d %s", Id.c_str(), Reply.Status,
         Reply.Status == 200 ? "" : Tail.c_str());
    return Reply.Status;
  };
  int Before = 0;
  for (int Each = 0; Each < 10; ++Each)
    Before += Ordinary() == 200 ? 1 : 0;
  if (hasTrouble()) {
    for (int Each = 0; Each < WrongRequests; ++Each) {
      const std::string Id = "w" + std::to_string(Each);
      const reply Reply =
          call(Router.Callers,
               matchRequest(Id, "other", "smal", "4000,80", Parts), 5000);
      note("with a model that the route doesn't have, %s: %d", Id.c_str(),
           Reply.Status);
      std::this_thread::sleep_for(100ms);
    }
  }
  int Misdirected = 0;
  for (const runner &One : Pool)
    Misdirected += One.Misdirected;
  note("runners answered 421 %d times", Misdirected);
  int After = 0, Sent = 0;
  for (const long Until = millisNow() + WatchMs; millisNow() < Until; ++Sent) {
    After += Ordinary() == 200 ? 1 : 0;
    std::this_thread::sleep_for(500ms);
  }
  note("readiness says %d", Router.readiness());
  note("ordinary requests answered 200: %d of 10 before, %d of %d after",
       Before, After, Sent);
  const bool IsBroken = After == 0;
  const bool HasRun = Before == 10;
  note("%s", !HasRun    ? "the case couldn't run"
             : IsBroken ? "BROKEN: ordinary callers get no answer any more"
                        : "held");
  Router.end();
  if (std::system(("rm -rf " + Folder).c_str()) != 0)
    note("the temporary folder is left");
  _exit(!HasRun ? 2 : IsBroken ? 1 : 0);
}
