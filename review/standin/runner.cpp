// Stands in for a model runner, on plain sockets. Its answers are streams with
// neither a length nor chunks, which end with their connection, as the
// platform's terms allow. A request that names its last event goes on after it.
//   runner ADDRESS PORT ID EVENTS PAUSE_MS RECORD
// Commands on standard input, one a line:
//   silent   drops the opening packets of new connections until one was
//            dropped, then goes on; says "silent" and "goes on"
// The end of standard input ends the process.

#include "http.h"

#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <linux/filter.h>
#include <mutex>
#include <sstream>
#include <thread>

namespace {

using namespace std::chrono_literals;

struct options {
  std::string Address;
  unsigned Port = 0;
  std::string Id;
  unsigned Events = 0;
  std::chrono::milliseconds Pause{0};
  std::string Record;
};

/// Appends lines to the record; used by all threads.
class recorder {
public:
  explicit recorder(const std::string &Path) : File(Path, std::ios::app) {}
  void add(const std::string &Line) {
    const std::scoped_lock Lock(Mutex);
    File << Line << '\n' << std::flush;
  }

private:
  std::mutex Mutex;
  std::ofstream File;
};

bool isClosedByPeer(int Socket) {
  char Byte = 0;
  return recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void serve(int Socket, const options &Options, recorder &Record) {
  const std::string Head = standin::readRequest(Socket);
  if (Head.empty()) {
    close(Socket); // a probe
    return;
  }
  const std::string Request = standin::fieldOf(Head, "X-Attempt-Id");
  if (standin::fieldOf(Head, "X-Expected-Instance") != Options.Id) {
    standin::sendAll(Socket, standin::misdirected(Options.Id));
    close(Socket);
    return;
  }
  Record.add("runner: " + Request + " begins to run");
  bool IsOpen = standin::sendAll(
      Socket,
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + Request +
          "\r\nX-Instance-Signature: signed-by-" + Options.Id +
          "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
          "Connection: close\r\n\r\n");
  const std::string Last = standin::fieldOf(Head, "Last-Event-Id");
  unsigned Sent = Last.empty() ? 0 : static_cast<unsigned>(std::stoul(Last));
  while (IsOpen && Sent < Options.Events) {
    std::this_thread::sleep_for(Options.Pause);
    IsOpen = !isClosedByPeer(Socket) &&
             standin::sendAll(Socket, "id: " + std::to_string(Sent + 1) +
                                          "\ndata: token\n\n");
    Sent += IsOpen ? 1 : 0;
  }
  Record.add(
      "runner: " + Request + " sent " + std::to_string(Sent) + " of " +
      std::to_string(Options.Events) + " events" +
      (IsOpen ? ", whole" : ", the caller's side closed before the end"));
  shutdown(Socket, SHUT_WR);
  close(Socket);
}

/// Whether a connection to this port is being opened and unanswered.
bool isOpening(unsigned Port) {
  std::array<char, 16> Suffix{};
  std::snprintf(Suffix.data(), Suffix.size(), ":%04X", Port);
  std::ifstream Table("/proc/net/tcp");
  std::string Line;
  while (std::getline(Table, Line)) {
    std::istringstream Words(Line);
    std::string Slot;
    std::string Local;
    std::string Remote;
    std::string State;
    Words >> Slot >> Local >> Remote >> State;
    constexpr std::string_view SynSent = "02";
    if (State == SynSent && Remote.ends_with(Suffix.data()))
      return true;
  }
  return false;
}

/// New connections hang while the filter drops all packets to the listener.
void beSilent(int Listener, unsigned Port, recorder &Record) {
  sock_filter DropAll = BPF_STMT(BPF_RET | BPF_K, 0);
  const sock_fprog Program{1, &DropAll};
  if (setsockopt(Listener, SOL_SOCKET, SO_ATTACH_FILTER, &Program,
                 sizeof Program) != 0) {
    std::perror("SO_ATTACH_FILTER");
    std::exit(2);
  }
  const auto Begun = std::chrono::steady_clock::now();
  std::cout << "silent" << std::endl;
  // A sound runner is silent for a second or so at most.
  while (!isOpening(Port) && std::chrono::steady_clock::now() - Begun < 900ms)
    std::this_thread::sleep_for(1ms);
  std::this_thread::sleep_for(40ms);
  const int Unused = 0;
  setsockopt(Listener, SOL_SOCKET, SO_DETACH_FILTER, &Unused, sizeof Unused);
  const auto Time = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - Begun);
  Record.add("runner: took no new connections for " +
             std::to_string(Time.count()) + " ms");
  std::cout << "goes on" << std::endl;
}

} // namespace

int main(int ArgCount, char **Args) {
  constexpr int Wanted = 7;
  if (ArgCount != Wanted) {
    std::cerr << "runner ADDRESS PORT ID EVENTS PAUSE_MS RECORD\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const options Options{Args[1],
                        static_cast<unsigned>(std::stoul(Args[2])),
                        Args[3],
                        static_cast<unsigned>(std::stoul(Args[4])),
                        std::chrono::milliseconds(std::stoul(Args[5])),
                        Args[6]};
  recorder Record(Options.Record);
  const int Listener = standin::listenOn(Options.Address, Options.Port);
  std::thread([&] {
    while (true) {
      const int Socket = standin::acceptOn(Listener);
      if (Socket < 0)
        continue;
      std::thread(serve, Socket, std::cref(Options), std::ref(Record)).detach();
    }
  }).detach();
  std::string Command;
  while (std::getline(std::cin, Command))
    if (Command == "silent")
      beSilent(Listener, Options.Port, Record);
  std::_Exit(0);
}
