// Callers open connections and send nothing on them. Ordinary callers, who
// open a connection for each request, must still be answered.
#include "kit.h"

#include <algorithm>
#include <atomic>

namespace {

/// A few callers with several hundred connections each; the process has 4,100
/// descriptors.
constexpr int Threads = 16;
constexpr int ConnectionsEach = 480;
constexpr long WatchMs = 20000;

} // namespace

int main(int, char **Args) {
  using namespace kit;
  if (!prepare(Args[1]))
    return 2;
  rlimit Files{};
  getrlimit(RLIMIT_NOFILE, &Files);
  if (Files.rlim_cur < 10000) {
    note("this needs 10,000 descriptors; %lu are allowed",
         static_cast<unsigned long>(Files.rlim_cur));
    return 2;
  }
  const std::string Folder = temporaryFolder();
  store Store;
  if (Folder.empty() || !Store.start(ip(9, 1)))
    return 2;
  Store.put("keyed.op", "config", configuration({"shop"}));
  std::vector<runner> Pool(4);
  for (int Each = 0; Each < 4; ++Each) {
    runner &One = Pool[static_cast<std::size_t>(Each)];
    One.Id = "portal-" + std::to_string(Each);
    One.Service = "portal";
    One.Slots = 6;
    One.Queue = 24;
    One.Work = plainWork(30);
    if (!One.start(Store, ip(6, 1 + Each)))
      return 2;
  }
  router Routers[2];
  const auto EndAll = [&] {
    for (router &Each : Routers)
      Each.end();
  };
  for (int Each = 0; Each < 2; ++Each)
    if (!Routers[Each].start(Folder, "vm-" + std::to_string(Each + 1),
                             ip(1, 1 + Each), Store.At) ||
        !Routers[Each].waitReady(15000)) {
      note("a router isn't ready");
      EndAll();
      return 2;
    }
  std::this_thread::sleep_for(2s);
  std::atomic<int> Idle{0};
  std::atomic<bool> IsOver{false};
  if (hasTrouble())
    for (int Thread = 0; Thread < Threads; ++Thread)
      spawn([&, &Router = Routers[Thread % 2]] {
        // One that is closed or refused is opened anew, a little later.
        std::vector<int> Open;
        while (!IsOver) {
          if (Open.size() < ConnectionsEach) {
            const int Fd = connectTo(Router.Callers, 200);
            if (Fd >= 0) {
              Open.push_back(Fd);
              ++Idle;
              continue;
            }
          }
          std::this_thread::sleep_for(20ms);
          std::vector<int> Left;
          for (const int Fd : Open) {
            char Byte = 0;
            const ssize_t Count = ::recv(Fd, &Byte, 1, MSG_DONTWAIT);
            if (Count == 0 || (Count < 0 && errno != EAGAIN)) {
              ::close(Fd);
              --Idle;
            } else {
              Left.push_back(Fd);
            }
          }
          Open = Left;
        }
      });
  std::this_thread::sleep_for(hasTrouble() ? 6s : 0s);
  note("%d idle connections are open", Idle.load());
  int Sent = 0, Answered = 0, NotConnected = 0, Longest = 0, Row = 0;
  const long Until = millisNow() + WatchMs;
  std::mutex Mutex;
  while (millisNow() < Until) {
    ++Sent;
    const std::string Id = "o" + std::to_string(Sent);
    spawn([&, Id, First = Sent % 2] {
      // A retry reaches another node.
      reply Reply;
      for (int Try = 0; Try < 2 && Reply.Status != 200; ++Try)
        Reply = call(Routers[(First + Try) % 2].Callers,
                     statusRequest(Id + (Try == 0 ? "a" : "b"), "shop"), 2500,
                     1000);
      const std::scoped_lock Lock(Mutex);
      Answered += Reply.Status == 200 ? 1 : 0;
      NotConnected += Reply.IsConnected ? 0 : 1;
      Row = Reply.Status == 200 ? 0 : Row + 1;
      Longest = std::max(Longest, Row);
    });
    if (Sent % 20 == 0)
      note(
          "%d ordinary callers tried, %d answered 200, %d found no listener at "
          "either machine; %d idle connections; readiness %d %d; %.1f MB",
          Sent, Answered, NotConnected, Idle.load(), Routers[0].readiness(),
          Routers[1].readiness(), Routers[0].residentMb());
    std::this_thread::sleep_for(100ms);
  }
  std::this_thread::sleep_for(3s);
  IsOver = true;
  note("ordinary callers: %d of %d answered 200, %d found no listener at "
       "either; %d "
       "in a row without an answer",
       Answered, Sent, NotConnected, Longest);
  const bool IsBroken = Answered * 4 < Sent;
  note("%s", IsBroken ? "BROKEN: ordinary callers get no answers" : "held");
  EndAll();
  if (std::system(("rm -rf " + Folder).c_str()) != 0)
    note("the temporary folder is left");
  _exit(IsBroken ? 1 : 0);
}
