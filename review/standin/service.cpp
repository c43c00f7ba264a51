// Stands in for a runner of a plain service, on plain sockets. While FILE
// exists, it crashes when it begins to run a request to .../deadly; while
// FILE-leaving-ID exists, all its answers say that it leaves. It is back two
// seconds after it ended, under its id and with a new time of birth. It answers
// a request to .../bytes/N with N bytes.
//   service ADDRESS PORT ID SERVICE ZONE STORE_PORT FILE RECORD

#include "http.h"

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>

namespace {

using namespace std::chrono_literals;

struct options {
  std::string Address;
  unsigned Port = 0;
  std::string Id;
  std::string Service;
  std::string Zone;
  unsigned StorePort = 0;
  std::string CrashFile;
  std::string Record;
};

constexpr auto Work = 15ms;
constexpr auto DownTime = 2s;

long long wallMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// A line of the record: the time, and what happened. One write a line, so that
/// lines of several processes don't mix.
void note(const options &Options, const std::string &Text) {
  std::ofstream File(Options.Record, std::ios::app);
  File << std::to_string(wallMillis()) + " " + Options.Id + " " + Text + "\n";
}

void announce(const options &Options) {
  const std::string Entry =
      R"({"service":")" + Options.Service + R"(","address":")" +
      Options.Address + ":" + std::to_string(Options.Port) + R"(","zone":")" +
      Options.Zone +
      R"(","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,)" +
      R"("sequence":1,"born":)" + std::to_string(wallMillis()) + "}";
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in Store = standin::addressOf("127.0.0.1", Options.StorePort);
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Store),
              sizeof Store) == 0 &&
      standin::sendAll(
          Socket, "POST /standin/put?topic=keyed.servers&key=" + Options.Id +
                      " HTTP/1.1\r\nHost: store\r\nContent-Length: " +
                      std::to_string(Entry.size()) + "\r\n\r\n" + Entry)) {
    char Byte = 0;
    recv(Socket, &Byte, 1, 0);
  }
  close(Socket);
}

void serve(int Socket, const options &Options) {
  const std::string Head = standin::readRequest(Socket);
  if (Head.empty()) {
    close(Socket); // a probe
    return;
  }
  if (standin::fieldOf(Head, "X-Expected-Instance") != Options.Id) {
    standin::sendAll(Socket, standin::misdirected(Options.Id));
    close(Socket);
    return;
  }
  const std::string Request = standin::fieldOf(Head, "X-Attempt-Id");
  const std::string Path = Head.substr(0, Head.find(" HTTP"));
  note(Options, "begins " + Request + " " + Path);
  std::this_thread::sleep_for(Work);
  if (Path.ends_with("/deadly") && std::filesystem::exists(Options.CrashFile)) {
    note(Options, "crashes " + Request);
    std::_Exit(1);
  }
  const bool IsLeaving =
      std::filesystem::exists(Options.CrashFile + "-leaving-" + Options.Id);
  std::string Body = "served by " + Options.Id + "\n";
  constexpr std::string_view Sized = "/bytes/";
  if (const std::size_t At = Path.find(Sized); At != std::string::npos)
    Body = std::string(std::stoul(Path.substr(At + Sized.size())), 'b');
  std::string Answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + Request +
                       "\r\nX-Instance-Signature: signed-by-" + Options.Id;
  if (IsLeaving)
    Answer += "\r\nServer-Leaving: 1";
  Answer += "\r\nContent-Length: " + std::to_string(Body.size()) +
            "\r\nConnection: close\r\n\r\n" + Body;
  const bool IsSent = standin::sendAll(Socket, Answer);
  note(Options, (IsSent ? "answers " : "could not answer ") + Request +
                    " with " + std::to_string(Body.size()) + " bytes");
  shutdown(Socket, SHUT_WR);
  close(Socket);
}

[[noreturn]] void run(const options &Options) {
  prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with its supervisor
  const int Listener = standin::listenOn(Options.Address, Options.Port);
  note(Options, "starts " + std::to_string(getpid()));
  announce(Options);
  while (true)
    if (const int Socket = standin::acceptOn(Listener); Socket >= 0)
      std::thread(serve, Socket, std::cref(Options)).detach();
}

} // namespace

int main(int ArgCount, char **Args) {
  constexpr int Wanted = 9;
  if (ArgCount != Wanted) {
    std::cerr
        << "service ADDRESS PORT ID SERVICE ZONE STORE_PORT FILE RECORD\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const options Options{
      Args[1], static_cast<unsigned>(std::stoul(Args[2])), Args[3], Args[4],
      Args[5], static_cast<unsigned>(std::stoul(Args[6])), Args[7], Args[8]};
  while (true) {
    const pid_t Child = fork();
    if (Child == 0)
      run(Options);
    waitpid(Child, nullptr, 0);
    std::this_thread::sleep_for(DownTime);
  }
}
