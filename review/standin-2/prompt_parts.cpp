// A crowd of callers, each with a request inside all limits whose head lists
// thousands of prompt parts, while the runners are at work on them. Watches
// what the router's process holds.
#include "kit.h"

#include <algorithm>

namespace {

/// Requests in flight at once; 18 runners have 1,152 slots.
constexpr int CrowdSize = 1150;
constexpr int Runners = 18;
constexpr long CrowdMs = 30000;

std::string manyParts(std::size_t Bytes) {
  std::string Text = "1:1";
  while (Text.size() + 4 <= Bytes)
    Text += ",1:1";
  return Text;
}

} // namespace

int main(int, char **Args) {
  using namespace kit;
  if (!prepare(Args[1]))
    return 2;
  const std::string Folder = temporaryFolder();
  const bool IsTrouble = hasTrouble();
  store Store;
  if (Folder.empty() || !Store.start(ip(9, 1)))
    return 2;
  Store.put("keyed.op", "config", configuration({"shop", "crowd"}));
  std::vector<runner> Pool(Runners + 2);
  for (int Each = 0; Each < Runners + 2; ++Each) {
    runner &One = Pool[static_cast<std::size_t>(Each)];
    const bool IsEngine = Each < Runners;
    One.Id = (IsEngine ? "engine-" : "portal-") + std::to_string(Each);
    One.Service = IsEngine ? "recon" : "portal";
    One.Zone = Each % 2 == 0 ? "hall-a" : "hall-b";
    if (IsEngine)
      One.Models = {"small", "middle", "large"};
    else
      One.Slots = 6, One.Queue = 24;
    // An answer of 40 events takes 20 s on a runner with many at once.
    One.Work = IsEngine ? streamWork(40, 500) : plainWork(30);
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
  const double Before = Router.residentMb();
  note("the machine has %d MB; the router holds %.1f MB with %d runners",
       Router.Machine.MemoryMb, Before, Runners + 2);
  // Without the disruption the crowd's heads are as long, in one other field.
  const std::string Padding = manyParts(15800);
  std::atomic<int> Sent{0}, Whole{0}, Refused{0}, Cut{0}, Unread{0};
  for (int Each = 0; Each < CrowdSize; ++Each) {
    const std::string Id = "crowd" + std::to_string(Each);
    const std::string Text =
        IsTrouble ? matchRequest(Id, "crowd", "middle", "4000,80", Padding)
                  : matchRequest(Id, "crowd", "middle", "4000,80",
                                 "5c1e07a2:2800,91bd3f06:1100,e4402b7d:100",
                                 "Cookie: " + Padding + "\r\n");
    if (Each == 0)
      note("each of %d callers sends a head of %zu bytes (limit 16384)",
           CrowdSize, Text.find("\r\n\r\n") + 4);
    spawn([&, Text] {
      ++Sent;
      const reply Reply = call(Router.Callers, Text, CrowdMs, 3000);
      if (!Reply.IsConnected)
        ++Unread;
      else if (Reply.Status == 200)
        ++Whole;
      else if (Reply.Status > 0)
        ++Refused;
      else
        ++Cut;
    });
    std::this_thread::sleep_for(3ms);
  }
  int Lookups = 0, Answered = 0;
  double Most = Before;
  bool HasEnded = false;
  const long Until = millisNow() + 20000;
  for (long Next = millisNow(); millisNow() < Until && !HasEnded;) {
    HasEnded = !Router.isRunning();
    Most = std::max(Most, HasEnded ? Most : Router.residentMb());
    if (millisNow() >= Next) {
      Next += 500;
      ++Lookups;
      const reply Reply =
          call(Router.Callers,
               statusRequest("l" + std::to_string(Lookups), "shop"), 2500);
      Answered += Reply.Status == 200 ? 1 : 0;
      int Open = 0;
      for (const runner &One : Pool)
        Open += One.Open;
      note("the router holds %.1f MB; %d requests at runners; ordinary lookup: "
           "%d",
           HasEnded ? 0 : Router.residentMb(), Open, Reply.Status);
    }
    std::this_thread::sleep_for(20ms);
  }
  note("crowd: %d sent, %d refused, %d cut, %d not accepted; ordinary lookups: "
       "%d of %d answered 200",
       Sent.load(), Refused.load(), Cut.load(), Unread.load(), Answered,
       Lookups);
  const bool IsOver = Most > Router.Machine.MemoryMb;
  note("most that the router held: %.1f MB; limit %d MB%s", Most,
       Router.Machine.MemoryMb, HasEnded ? "; the process ended" : "");
  Router.end();
  const bool IsBroken = IsOver || HasEnded;
  note("%s", IsBroken ? "BROKEN: the process doesn't stay within the memory of "
                        "its machine"
                      : "held");
  std::fflush(nullptr);
  std::string Remove = "rm -rf " + Folder;
  if (std::system(Remove.c_str()) != 0)
    note("the temporary folder is left");
  _exit(IsBroken ? 1 : 0);
}
