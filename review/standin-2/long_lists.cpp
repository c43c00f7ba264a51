// One caller sends requests inside all limits whose heads list many names in
// Connection and have many short fields.
#include "kit.h"

#include <atomic>

namespace {

constexpr int PerSecond = 40;
/// One ordinary request for so many of these.
constexpr int OrdinaryEach = 8;
constexpr long WatchMs = 20000;

} // namespace

int main(int, char **Args) {
  using namespace kit;
  if (!prepare(Args[1]))
    return 2;
  const std::string Folder = temporaryFolder();
  store Store;
  if (Folder.empty() || !Store.start(ip(9, 1)))
    return 2;
  Store.put("keyed.op", "config", configuration({"shop", "crowd"}));
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
  router Router;
  if (!Router.start(Folder, "vm-1", ip(1, 1), Store.At) ||
      !Router.waitReady(15000)) {
    note("the router isn't ready");
    Router.end();
    return 2;
  }
  std::this_thread::sleep_for(2s);
  std::string Lists = "Connection: a";
  while (Lists.size() < 7900)
    Lists += ",a";
  Lists += "\r\n";
  while (Lists.size() < 15900)
    Lists += "b:\r\n";
  const auto Request = [&](const std::string &Id, const std::string &Tenant,
                           const std::string &More) {
    return "GET /status/" + Id +
           " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + Id +
           "\r\nX-Key: key-" + Tenant +
           "\r\nX-Deadline-Remaining-Ms: 2500\r\n" + More + "\r\n";
  };
  const std::string Long =
      hasTrouble()
          ? Lists
          : "Connection: a\r\nCookie: " + std::string(15800, 'a') + "\r\n";
  for (int Each = 0; Each < 5; ++Each) {
    const long From = millisNow();
    const reply Reply =
        call(Router.Callers,
             Request("alone" + std::to_string(Each), "crowd", Long), 5000);
    note("one such request alone: %d after %ld ms, of these 30 at the runner",
         Reply.Status, millisNow() - From);
  }
  // Counted for CONFIG: requests without an answer at the route's
  // timeout of 1,200 ms, and those of them without one half a second later.
  std::atomic<int> Asked{0}, Answered{0}, Late{0}, Never{0}, Unread{0};
  // The rule counts the requests of the crowd too.
  std::atomic<int> All{0}, AllLate{0}, AllNever{0};
  int Sent = 0, Started = 0;
  const long Until = millisNow() + WatchMs;
  while (millisNow() < Until) {
    ++Sent;
    const std::string Id = "c" + std::to_string(Sent);
    spawn([&, Id] {
      const int Fd = connectTo(Router.Callers, 1000);
      if (Fd < 0)
        return;
      ++All;
      std::string Buffer;
      message Answer;
      const long At = millisNow();
      const bool IsAnswered = sendAll(Fd, Request(Id, "crowd", Long)) &&
                              readMessage(Fd, Buffer, Answer, At + 1700, true);
      AllLate += millisNow() - At > 1200 ? 1 : 0;
      AllNever += IsAnswered ? 0 : 1;
      ::close(Fd);
    });
    if (Sent % OrdinaryEach == 0) {
      const std::string Own = "o" + std::to_string(++Started);
      spawn([&, Own] {
        const int Fd = connectTo(Router.Callers, 1000);
        if (Fd < 0) {
          ++Unread;
          return;
        }
        ++Asked;
        std::string Buffer;
        message Answer;
        const long At = millisNow();
        const bool IsAnswered =
            sendAll(Fd, Request(Own, "shop", "")) &&
            readMessage(Fd, Buffer, Answer, At + 1700, true);
        const long Took = millisNow() - At;
        Answered += IsAnswered && Answer.status() == 200 ? 1 : 0;
        Late += Took > 1200 ? 1 : 0;
        Never += IsAnswered ? 0 : 1;
        note("ordinary %s: %d after %ld ms", Own.c_str(),
             IsAnswered ? Answer.status() : 0, Took);
        ::close(Fd);
      });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1000 / PerSecond));
  }
  std::this_thread::sleep_for(3s);
  note("%d requests with long lists; ordinary requests: %d sent, %d answered "
       "200, %d without an answer at 1,200 ms, %d at 1,700 ms; %d not accepted",
       Sent, Asked.load(), Answered.load(), Late.load(), Never.load(),
       Unread.load());
  const int LateInAll = AllLate + Late;
  const int NeverInAll = AllNever + Never;
  note("of all %d requests that were taken %d had no answer at 1,200 ms, %d at "
       "1,700 ms",
       All + Asked, LateInAll, NeverInAll);
  const bool IsBroken =
      LateInAll >= 8 && NeverInAll * 2 > LateInAll && Never * 2 > Late;
  note("%s", IsBroken ? "BROKEN: more than half of the requests that are "
                        "unanswered at timeout_ms have no answer 0.5 s later"
                      : "held");
  Router.end();
  if (std::system(("rm -rf " + Folder).c_str()) != 0)
    note("the temporary folder is left");
  _exit(IsBroken ? 1 : 0);
}
