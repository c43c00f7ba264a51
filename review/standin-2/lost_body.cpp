// Streams of a route with `sizes` that may not be resumed. The first model's
// answers have little confidence, so the router asks a larger model. Compares
// the bodies that runners run with those that clients sent.
#include "kit.h"

#include <set>

namespace {

constexpr int Requests = 60;

std::string requestOf(const std::string &Id, const std::string &Body) {
  return "POST /match/" + Id +
         " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + Id +
         "\r\nX-Key: key-shop\r\nX-Model: *\r\nX-Token-Usage: 4000,80\r\n"
         "X-Prompt-Prefix-Hash: 5c1e07a2:3900,e4402b7d:100\r\n"
         "X-Deadline-Remaining-Ms: 25000\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string answerTo(const std::string &Body) { return "on <" + Body + ">"; }

} // namespace

int main(int, char **Args) {
  using namespace kit;
  if (!prepare(Args[1]))
    return 2;
  const std::string Folder = temporaryFolder();
  store Store;
  if (Folder.empty() || !Store.start(ip(9, 1)))
    return 2;
  std::string Config = configuration({"shop"});
  const std::string Resumable = "\"resumable\":true";
  Config.replace(Config.find(Resumable), Resumable.size(),
                 "\"resumable\":false");
  Store.put("keyed.op", "config", Config);
  const bool IsTrouble = hasTrouble();
  std::mutex Mutex;
  std::set<std::string> Changed;
  int Runs = 0, ChangedRuns = 0;
  std::vector<runner> Pool(6);
  for (int Each = 0; Each < 6; ++Each) {
    runner &One = Pool[static_cast<std::size_t>(Each)];
    One.Id = "engine-" + std::to_string(Each);
    One.Service = "recon";
    One.Models = {"small", "middle", "large"};
    One.Work = [&](const message &Request, int Fd, runner &Self) {
      const std::string Id = Request.field("X-Attempt-Id");
      const std::string Model = Request.field("X-Model");
      const std::string Sent = "body of " + Id;
      {
        const std::scoped_lock Lock(Mutex);
        ++Runs;
        const bool IsSame = Request.Body == Sent;
        if (!IsSame) {
          ++ChangedRuns;
          Changed.insert(Id);
        }
        note("%s runs %s with model %s, body: \"%s\"%s", Self.Id.c_str(),
             Id.c_str(), Model.c_str(), Request.Body.c_str(),
             IsSame ? "" : "  <- not what the client sent");
      }
      // The largest model is sure of its answers, the others aren't.
      const int Confidence = !IsTrouble || Model == "large" ? 95 : 3;
      std::string Text = "HTTP/1.1 200 x\r\n" + Self.headFields(Request) +
                         "Content-Type: text/event-stream\r\nX-Confidence: " +
                         std::to_string(Confidence) +
                         "\r\nTransfer-Encoding: chunked\r\n\r\n";
      if (!workFor(Fd, 30) || !sendAll(Fd, Text))
        return false;
      for (int Event = 1; Event <= 3; ++Event) {
        if (!workFor(Fd, 20))
          return false;
        std::string Data = "id: " + std::to_string(Event) + "\ndata: ";
        Data += answerTo(Request.Body);
        Data += "\n\n";
        char Size[16];
        std::snprintf(Size, sizeof Size, "%zx\r\n", Data.size());
        std::string Chunk = Size;
        Chunk += Data;
        Chunk += "\r\n";
        if (!sendAll(Fd, Chunk))
          return false;
      }
      return sendAll(Fd, "0\r\n\r\n");
    };
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
  int Answered = 0, Wrong = 0;
  for (int Each = 0; Each < Requests; ++Each) {
    const std::string Id = "r" + std::to_string(Each);
    const std::string Body = "body of " + Id;
    const std::string Text = requestOf(Id, Body);
    const reply Reply = call(Router.Callers, Text, 5000);
    const bool IsRight =
        Reply.Answer.Body.find(answerTo(Body)) != std::string::npos;
    Answered += Reply.Status == 200 ? 1 : 0;
    if (Reply.Status == 200 && !IsRight) {
      ++Wrong;
      note("the client of %s gets 200 with an answer to another body",
           Id.c_str());
    }
    std::this_thread::sleep_for(100ms);
  }
  note("%d requests, %d answered 200; %d runs, %d of them with another body "
       "than the client's; %d clients got an answer to it",
       Requests, Answered, Runs, ChangedRuns, Wrong);
  const bool HasRun = Answered > Requests / 2;
  note("%s", !HasRun           ? "the case couldn't run"
             : ChangedRuns > 0 ? "BROKEN: runners run a request with its body "
                                 "changed"
                               : "held");
  Router.end();
  if (std::system(("rm -rf " + Folder).c_str()) != 0)
    note("the temporary folder is left");
  _exit(!HasRun ? 2 : ChangedRuns > 0 ? 1 : 0);
}
