// Small stand-ins of the platform for the cases beside this folder: the store
// as a log, runners, callers, and the start of the real router. Sockets block,
// one thread a connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace kit {

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

inline const steady::time_point Start = steady::now();
inline long millisNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() -
                                                               Start)
      .count();
}

// --- the record --------------------------------------------------------------

inline FILE *Record = nullptr;
inline std::mutex RecordMutex;
__attribute__((format(printf, 1, 2))) inline void note(const char *Format,
                                                       ...) {
  const std::scoped_lock Lock(RecordMutex);
  va_list Args;
  va_start(Args, Format);
  std::fprintf(Record, "%7ld ms  ", millisNow());
  std::vfprintf(Record, Format, Args);
  std::fputc('\n', Record);
  std::fflush(Record);
  va_end(Args);
}

// --- messages ----------------------------------------------------------------

struct message {
  std::string First; ///< request or status line
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  std::string field(const std::string &Name) const {
    for (const auto &[Key, Value] : Fields)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return Value;
    return {};
  }
  int status() const {
    return First.size() > 12 ? std::atoi(First.c_str() + 9) : 0;
  }
  std::string target() const {
    const auto From = First.find(' ');
    return First.substr(From + 1, First.rfind(' ') - From - 1);
  }
};

inline bool sendAll(int Fd, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Count =
        ::send(Fd, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

/// Reads more bytes until the time; false at the end or at a failure.
inline bool receiveMore(int Fd, std::string &Buffer, long UntilMs) {
  const long Left = UntilMs - millisNow();
  if (Left <= 0)
    return false;
  pollfd Poll{Fd, POLLIN, 0};
  if (::poll(&Poll, 1, static_cast<int>(Left)) <= 0)
    return false;
  char Bytes[16384];
  const ssize_t Count = ::recv(Fd, Bytes, sizeof Bytes, 0);
  if (Count <= 0)
    return false;
  Buffer.append(Bytes, static_cast<std::size_t>(Count));
  return true;
}

/// Reads a message with a length, with chunks, or (answers) until the end.
inline bool readMessage(int Fd, std::string &Buffer, message &Out, long UntilMs,
                        bool IsAnswer) {
  std::size_t End = 0;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!receiveMore(Fd, Buffer, UntilMs))
      return false;
  Out = {};
  std::istringstream Head(Buffer.substr(0, End));
  Buffer.erase(0, End + 4);
  std::string Line;
  std::getline(Head, Out.First);
  if (!Out.First.empty() && Out.First.back() == '\r')
    Out.First.pop_back();
  while (std::getline(Head, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    const auto Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    const auto Value = Line.find_first_not_of(' ', Colon + 1);
    Out.Fields.emplace_back(Line.substr(0, Colon), Value == std::string::npos
                                                       ? ""
                                                       : Line.substr(Value));
  }
  if (const std::string Length = Out.field("Content-Length"); !Length.empty()) {
    const std::size_t Count = std::stoul(Length);
    while (Buffer.size() < Count)
      if (!receiveMore(Fd, Buffer, UntilMs))
        return false;
    Out.Body = Buffer.substr(0, Count);
    Buffer.erase(0, Count);
    return true;
  }
  if (Out.field("Transfer-Encoding") == "chunked") {
    for (;;) {
      std::size_t Eol = 0;
      while ((Eol = Buffer.find("\r\n")) == std::string::npos)
        if (!receiveMore(Fd, Buffer, UntilMs))
          return false;
      const std::size_t Size = std::stoul(Buffer.substr(0, Eol), nullptr, 16);
      while (Buffer.size() < Eol + 2 + Size + 2)
        if (!receiveMore(Fd, Buffer, UntilMs))
          return false;
      Out.Body += Buffer.substr(Eol + 2, Size);
      Buffer.erase(0, Eol + 2 + Size + 2);
      if (Size == 0)
        return true;
    }
  }
  if (IsAnswer) {
    while (receiveMore(Fd, Buffer, UntilMs)) {
    }
    Out.Body = std::exchange(Buffer, {});
  }
  return true;
}

// --- sockets -----------------------------------------------------------------

struct address {
  std::string Ip;
  int Port = 0;
  std::string text() const { return Ip + ":" + std::to_string(Port); }
  sockaddr_in raw() const {
    sockaddr_in Raw{};
    Raw.sin_family = AF_INET;
    Raw.sin_port = htons(static_cast<std::uint16_t>(Port));
    inet_pton(AF_INET, Ip.c_str(), &Raw.sin_addr);
    return Raw;
  }
};

/// A number of its own for the addresses of this run.
inline int net() { return 40 + static_cast<int>(getpid() % 200); }
inline std::string ip(int A, int B) {
  return "127." + std::to_string(net()) + "." + std::to_string(A) + "." +
         std::to_string(B);
}

inline int listenOn(address &At) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  sockaddr_in Raw = At.raw();
  if (::bind(Fd, reinterpret_cast<sockaddr *>(&Raw), sizeof Raw) != 0 ||
      ::listen(Fd, 1024) != 0) {
    ::close(Fd);
    return -1;
  }
  socklen_t Size = sizeof Raw;
  getsockname(Fd, reinterpret_cast<sockaddr *>(&Raw), &Size);
  At.Port = ntohs(Raw.sin_port);
  return Fd;
}

inline int freePort(const std::string &Ip) {
  address At{Ip, 0};
  const int Fd = listenOn(At);
  ::close(Fd);
  return At.Port;
}

inline int connectTo(const address &To, long TimeoutMs) {
  const int Fd =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (Fd < 0)
    return -1;
  const int One = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  sockaddr_in Raw = To.raw();
  if (::connect(Fd, reinterpret_cast<sockaddr *>(&Raw), sizeof Raw) != 0) {
    pollfd Poll{Fd, POLLOUT, 0};
    int Error = 0;
    socklen_t Size = sizeof Error;
    if (errno != EINPROGRESS ||
        ::poll(&Poll, 1, static_cast<int>(TimeoutMs)) <= 0 ||
        getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 ||
        Error != 0) {
      ::close(Fd);
      return -1;
    }
  }
  fcntl(Fd, F_SETFL, fcntl(Fd, F_GETFL) & ~O_NONBLOCK);
  return Fd;
}

/// A thread with a small stack, which ends with the process.
inline void spawn(std::function<void()> Run) {
  pthread_attr_t Attributes;
  pthread_attr_init(&Attributes);
  pthread_attr_setstacksize(&Attributes, 256U << 10U);
  pthread_attr_setdetachstate(&Attributes, PTHREAD_CREATE_DETACHED);
  auto *Body = new std::function<void()>(std::move(Run));
  pthread_t Thread{};
  if (pthread_create(
          &Thread, &Attributes,
          [](void *Raw) -> void * {
            auto *Function = static_cast<std::function<void()> *>(Raw);
            (*Function)();
            delete Function;
            return nullptr;
          },
          Body) != 0)
    delete Body;
  pthread_attr_destroy(&Attributes);
}

/// Serves connections; the handler gets a request and the socket, and answers
/// it; false: the connection is closed.
using handler = std::function<bool(const message &, int Fd)>;
inline bool serve(address &At, handler Handle) {
  const int Listener = listenOn(At);
  if (Listener < 0)
    return false;
  spawn([Listener, Handle] {
    for (;;) {
      const int Fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0)
        continue;
      const int One = 1;
      setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
      spawn([Fd, Handle] {
        std::string Buffer;
        message Request;
        while (readMessage(Fd, Buffer, Request, millisNow() + 120000, false) &&
               Handle(Request, Fd)) {
        }
        ::close(Fd);
      });
    }
  });
  return true;
}

inline std::string answerText(int Status, const std::string &Fields,
                              const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " x\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

// --- the platform's store ----------------------------------------------------

class store {
public:
  address At;

  bool start(const std::string &Ip) {
    At.Ip = Ip;
    return serve(At, [this](const message &Request, int Fd) {
      return handle(Request, Fd);
    });
  }

  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value) {
    add(Topic, std::string(1, static_cast<char>(Key.size())) + Key + Value);
  }

private:
  struct log {
    std::vector<std::string> Records;
    std::map<std::string, std::pair<std::string, std::size_t>> Newest;
  };

  static std::string bigEndian(std::uint64_t Value, int Bytes) {
    std::string Text;
    for (int I = Bytes; I-- > 0;)
      Text += static_cast<char>(Value >> (8 * I) & 0xff);
    return Text;
  }
  static std::string base64(const std::string &Bytes) {
    static const char *Digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string Text;
    for (std::size_t I = 0; I < Bytes.size(); I += 3) {
      std::uint32_t Bits = 0;
      for (std::size_t J = 0; J < 3; ++J)
        Bits = Bits << 8 |
               (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                     : 0U);
      for (std::size_t J = 0; J < 4; ++J)
        Text += I + J > Bytes.size() ? '=' : Digits[Bits >> (18 - 6 * J) & 63];
    }
    return Text;
  }
  static std::string query(const std::string &Target, const std::string &Name) {
    const auto From = Target.find(Name + "=");
    if (From == std::string::npos)
      return {};
    const auto Begin = From + Name.size() + 1;
    return Target.substr(Begin, Target.find('&', Begin) - Begin);
  }

  void add(const std::string &Topic, const std::string &Content) {
    const std::scoped_lock Lock(Mutex);
    log &Log = Logs[Topic];
    if (Topic.rfind("keyed.", 0) == 0 && !Content.empty()) {
      const auto Size = static_cast<unsigned char>(Content[0]);
      const std::string Key = Content.substr(1, Size);
      const std::string Value = Content.substr(1U + Size);
      if (Value.empty())
        Log.Newest.erase(Key);
      else
        Log.Newest[Key] = {Value, Log.Records.size()};
    }
    Log.Records.push_back(bigEndian(Content.size(), 4) + Content);
    Changed.notify_all();
  }

  bool handle(const message &Request, int Fd) {
    const std::string Target = Request.target();
    const std::string Topic = query(Target, "topic");
    const std::string Json = "Content-Type: application/json\r\n";
    if (Target.rfind("/api/log-newest", 0) == 0) {
      const std::scoped_lock Lock(Mutex);
      log &Log = Logs[Topic];
      std::string Items;
      for (const auto &[Key, Value] : Log.Newest)
        Items += (Items.empty() ? "" : ",") + ("{\"key\":\"" + Key) +
                 "\",\"value\":\"" + base64(Value.first) +
                 "\",\"offset\":" + std::to_string(Value.second) + "}";
      return sendAll(Fd,
                     answerText(200, Json,
                                "{\"items\":[" + Items +
                                    "],\"has_more\":false,\"end_offset\":" +
                                    std::to_string(Log.Records.size()) + "}"));
    }
    if (Target.rfind("/api/log-append", 0) == 0) {
      const std::string Expected = query(Target, "at");
      std::size_t First = 0;
      {
        const std::scoped_lock Lock(Mutex);
        First = Logs[Topic].Records.size();
        if (!Expected.empty() &&
            std::stoull(Expected) != Logs[Topic].Records.size())
          return sendAll(
              Fd,
              answerText(412, Json,
                         "{\"end_offset\":" +
                             std::to_string(Logs[Topic].Records.size()) + "}"));
      }
      std::string Rest = Request.Body;
      while (Rest.size() >= 4) {
        std::size_t Length = 0;
        for (int I = 0; I < 4; ++I)
          Length = Length << 8 | static_cast<unsigned char>(Rest[I]);
        add(Topic, Rest.substr(4, Length));
        Rest.erase(0, 4 + Length);
      }
      const std::scoped_lock Lock(Mutex);
      const std::string End = std::to_string(Logs[Topic].Records.size());
      return sendAll(Fd, answerText(200, Json,
                                    "{\"offset\":" + std::to_string(First) +
                                        ",\"end_offset\":" + End + "}"));
    }
    if (Target.rfind("/api/log-read", 0) == 0) {
      const std::size_t From = std::stoul("0" + query(Target, "source"));
      const long Wait = std::stol("0" + query(Target, "wait_timeout_ms"));
      std::unique_lock Lock(Mutex);
      Changed.wait_for(Lock, std::chrono::milliseconds(Wait),
                       [&] { return Logs[Topic].Records.size() > From; });
      log &Log = Logs[Topic];
      std::string Body = bigEndian(Log.Records.size(), 8) + bigEndian(0, 8);
      for (std::size_t I = From; I < Log.Records.size(); ++I)
        Body += Log.Records[I];
      Lock.unlock();
      return sendAll(Fd, answerText(200, "", Body));
    }
    return sendAll(Fd, answerText(404, "", ""));
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, log> Logs;
};

// --- a runner ----------------------------------------------------------------

/// Announces itself and answers as the pages say; `Work` writes the answer of a
/// request that it runs.
class runner {
public:
  std::string Id, Service, Zone = "hall-a", Version = "v1";
  address At;
  int Slots = 64;
  int Queue = 134;                 ///< requests that wait beside those that run
  std::vector<std::string> Models; ///< of its routes with `sizes`; none: plain
  std::function<bool(const message &, int Fd, runner &)> Work;
  std::atomic<int> Open{0}, Ran{0}, Shed{0}, Misdirected{0};

  bool start(store &Store, const std::string &Ip) {
    At.Ip = Ip;
    if (!serve(At, [this](const message &Request, int Fd) {
          return handle(Request, Fd);
        }))
      return false;
    Born = std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count();
    spawn([this, &Store] {
      for (int Sequence = 1;; ++Sequence) {
        Store.put("keyed.servers", Id, entry(Sequence));
        std::this_thread::sleep_for(1200ms);
      }
    });
    return true;
  }

  std::string headFields(const message &Request) const {
    return "X-Attempt-Id: " + Request.field("X-Attempt-Id") +
           "\r\nX-Instance-Signature: signed-by-" + Id + "\r\n";
  }

private:
  std::string entry(int Sequence) const {
    return "{\"service\":\"" + Service + "\",\"address\":\"" + At.text() +
           "\",\"zone\":\"" + Zone + "\",\"version\":\"" + Version +
           "\",\"slots\":" + std::to_string(Slots) +
           ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":" +
           std::to_string(Sequence) + ",\"born\":" + std::to_string(Born) + "}";
  }

  bool handle(const message &Request, int Fd) {
    const std::string Expected = Request.field("X-Expected-Instance");
    const std::string Model = Request.field("X-Model");
    bool IsKnownModel = Models.empty();
    for (const std::string &Each : Models)
      IsKnownModel = IsKnownModel || Each == Model;
    if ((!Expected.empty() && Expected != Id) || !IsKnownModel) {
      ++Misdirected;
      return sendAll(Fd, answerText(421,
                                    "X-Instance-Id: " + Id +
                                        "\r\nX-Not-Executed: 1\r\n"
                                        "X-Attempt-Id: " +
                                        Request.field("X-Attempt-Id") + "\r\n",
                                    ""));
    }
    if (++Open > Slots + Queue) {
      --Open;
      ++Shed;
      return sendAll(Fd, answerText(503,
                                    "X-Not-Executed: 1\r\nX-Attempt-Id: " +
                                        Request.field("X-Attempt-Id") + "\r\n",
                                    ""));
    }
    {
      std::unique_lock Lock(SlotMutex);
      SlotFree.wait(Lock, [this] { return Running < Slots; });
      ++Running;
    }
    ++Ran;
    const bool Keeps = Work(Request, Fd, *this);
    {
      const std::scoped_lock Lock(SlotMutex);
      --Running;
    }
    SlotFree.notify_one();
    --Open;
    return Keeps;
  }

  std::mutex SlotMutex;
  std::condition_variable SlotFree;
  int Running = 0;

  long long Born = 0;
};

/// Waits, but not beyond the caller's end of the connection; false: it closed.
inline bool workFor(int Fd, long Ms) {
  const long Until = millisNow() + Ms;
  while (millisNow() < Until) {
    pollfd Poll{Fd, POLLIN | POLLRDHUP, 0};
    if (::poll(&Poll, 1, static_cast<int>(Until - millisNow())) > 0) {
      char Byte = 0;
      if (::recv(Fd, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0)
        return false;
      std::this_thread::sleep_for(20ms);
    }
  }
  return true;
}

/// A plain service: some work, then the body of a short answer.
inline std::function<bool(const message &, int, runner &)> plainWork(long Ms) {
  return [Ms](const message &Request, int Fd, runner &Self) {
    return workFor(Fd, Ms) &&
           sendAll(Fd, answerText(200, Self.headFields(Request),
                                  "served by " + Self.Id));
  };
}

/// A stream of `Events` events, one each `Ms`.
inline std::function<bool(const message &, int, runner &)>
streamWork(int Events, long Ms) {
  return [Events, Ms](const message &Request, int Fd, runner &Self) {
    int From = 0;
    if (const std::string Last = Request.field("Last-Event-Id"); !Last.empty())
      From = std::atoi(Last.c_str());
    for (int Each = From + 1; Each <= Events; ++Each) {
      if (!workFor(Fd, Ms))
        return false;
      std::string Text;
      if (Each == From + 1)
        Text = "HTTP/1.1 200 x\r\n" + Self.headFields(Request) +
               "Content-Type: text/event-stream\r\nX-Confidence: 80\r\n"
               "Transfer-Encoding: chunked\r\n\r\n";
      const std::string Event =
          "id: " + std::to_string(Each) + "\ndata: token\n\n";
      char Size[16];
      std::snprintf(Size, sizeof Size, "%zx\r\n", Event.size());
      if (!sendAll(Fd, Text + Size + Event + "\r\n"))
        return false;
    }
    return sendAll(Fd, "0\r\n\r\n");
  };
}

// --- the router --------------------------------------------------------------

struct machine {
  int MemoryMb = 260; ///< as on the sheet of the site
  int Descriptors = 4100;
};

class router {
public:
  std::string Ip;
  address Callers, Ready;
  pid_t Pid = -1;
  machine Machine;

  /// Writes the settings file and starts the command of the deploy file.
  bool start(const std::string &Folder, const std::string &Name,
             const std::string &OwnIp, const address &Store) {
    Ip = OwnIp;
    Callers = {Ip, freePort(Ip)};
    Ready = {Ip, freePort(Ip)};
    const std::string File = Folder + "/" + Name + ".toml";
    std::ofstream(File) << settings(Name, Store);
    const std::string Log = Folder + "/" + Name + ".log";
    Pid = fork();
    if (Pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
      dup2(Out, 1);
      dup2(Out, 2);
      rlimit Files{};
      Files.rlim_cur = Files.rlim_max =
          static_cast<rlim_t>(Machine.Descriptors);
      setrlimit(RLIMIT_NOFILE, &Files);
      setenv("CLEMENTINELANE_NODE_FILE", File.c_str(), 1);
      execl("target/clementine_router", "target/clementine_router",
            "--metrics_port=9464", nullptr);
      _exit(127);
    }
    return Pid > 0;
  }

  bool isRunning() {
    if (Pid <= 0)
      return false;
    if (waitpid(Pid, &EndStatus, WNOHANG) == Pid)
      Pid = -1;
    return Pid > 0;
  }
  int EndStatus = 0;

  void end() {
    if (Pid <= 0)
      return;
    kill(Pid, SIGCONT);
    kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
    Pid = -1;
  }

  /// The status of the readiness call; 0: no answer.
  int readiness(long TimeoutMs = 1000) const {
    const int Fd = connectTo(Ready, TimeoutMs);
    if (Fd < 0)
      return 0;
    std::string Buffer;
    message Answer;
    const bool Is =
        sendAll(Fd, "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n") &&
        readMessage(Fd, Buffer, Answer, millisNow() + TimeoutMs, true);
    ::close(Fd);
    return Is ? Answer.status() : 0;
  }

  bool waitReady(long TimeoutMs) {
    for (const long Until = millisNow() + TimeoutMs; millisNow() < Until;) {
      if (readiness() == 200)
        return true;
      std::this_thread::sleep_for(50ms);
    }
    return false;
  }

  /// Resident memory in MB of 10^6 bytes, as in the sheet.
  double residentMb() const {
    std::ifstream File("/proc/" + std::to_string(Pid) + "/statm");
    double Size = 0;
    double Pages = 0;
    File >> Size >> Pages;
    return Pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  }

private:
  std::string settings(const std::string &Name, const address &Store) const {
    const int Peer = freePort(Ip);
    std::ostringstream Text;
    Text << "node_name = \"" << Name << "\"\nrole = \"router\"\n"
         << "machine_class = \"frontend\"\nserved_roles = [\"frontend\"]\n"
         << "ip_address = \"" << Ip << "\"\nzone = \"hall-a\"\n"
         << "region = \"be-central\"\ninternal_port_range = [" << Peer << ", "
         << Peer + 15 << "]\nseed_nodes = []\nbootstrap = true\n"
         << "heartbeat_interval_ms = 1200\n"
         << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
            "\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\","
            "\"rollout\"]\n"
         << "[zones]\nhall-a = \"be-central\"\nhall-b = \"be-central\"\n"
         << "[listen_addresses]\nfrontend = \"" << Callers.text()
         << "\"\nready = \"" << Ready.text() << "\"\n"
         << "[limits]\ncpu_quota = 0.25\ncpu_cores = 1\nmemory_limit_mb = "
         << Machine.MemoryMb << "\nfile_descriptors = " << Machine.Descriptors
         << "\nlink_bandwidth_mbps = 1000.0\ndisk_size_mb = 0\n"
         << "[fault_tolerance]\nmachine_failures = 1\nzones = 1\n"
         << "[bounds]\nseed_lag_s = 3\naddress_reuse_s = 2\n"
            "contact_window_ms = 3000\nack_timeout_ms = 4000\n"
            "catch_up_s = 4\ndrain_timeout_ms = 2000\ngrace_period_s = 8\n"
            "loss_slack_ms = 200\nconfig_apply_ms = 2000\n"
            "downgrade_slack_ms = 250\nouter_bound_ms = 5000\n"
            "strict_revocation = true\nrevoke_timeout_ms = 5000\n"
            "retry_budget_ratio = 0.9\nretry_window_s = 10\n"
            "retry_budget_extra = 58\ncanary_share = 0.15\n"
            "canary_tolerance = 30\nrollback_timeout_ms = 5000\n"
            "recovery_time_s = 12\nstep_time_ms = 120\nretry_after_s = 10\n"
            "session_ttl_s = 5\n"
         << "[platform]\naddress = \"" << Store.text()
         << "\"\nform = \"log\"\nwrites_per_s = 400\nreads_per_s = 2000\n"
            "parts = 12\nkeep_s = 300\n";
    return Text.str();
  }
};

/// Configuration with the routes, limits and services of the sheet, and one key
/// for each of the tenants.
inline std::string configuration(const std::vector<std::string> &Tenants) {
  std::string Customers;
  for (const std::string &Each : Tenants)
    Customers += (Customers.empty() ? "" : ",") + ("{\"name\":\"" + Each) +
                 "\",\"api_keys\":[\"key-" + Each + "\"]}";
  return R"({"version":7,"routes":[
{"name":"match","host":"h.example","path_prefix":"/match/","kind":"streaming",
 "timeout_ms":25000,"target_latency_ms":4000,"priority":1,
 "sizes":["small","middle","large"],"service":"recon","max_attempts":3,
 "public":false,"sticky":true,"resumable":true,"target_gap_ms":1000},
{"name":"status","host":"h.example","path_prefix":"/status/",
 "kind":"idempotent","timeout_ms":1200,"target_latency_ms":150,"priority":2,
 "service":"portal","max_attempts":2,"public":false},
{"name":"upload","host":"h.example","path_prefix":"/upload/",
 "kind":"non_idempotent","timeout_ms":1200,"target_latency_ms":150,
 "priority":2,"service":"portal","max_attempts":1,"public":false}],
"services":[{"name":"recon","health_path":"/health","max_connections":370,
 "protocol":"h1","tls":false,"inference_engine":{"slots":64,
 "kv_capacity_tokens":628077,"models":[{"name":"small","cost":0.0082},
 {"name":"middle","cost":0.062},{"name":"large","cost":0.12}]}},
{"name":"portal","health_path":"/health","max_connections":110,
 "protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
 "header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[)" +
         Customers + "]}";
}

// --- callers -----------------------------------------------------------------

struct reply {
  bool IsConnected = false;
  int Status = 0; ///< 0: no whole answer
  message Answer;
};

/// One request on a new connection.
inline reply call(const address &To, const std::string &Text, long TimeoutMs,
                  long ConnectMs = 1000) {
  reply Reply;
  const int Fd = connectTo(To, ConnectMs);
  if (Fd < 0)
    return Reply;
  Reply.IsConnected = true;
  std::string Buffer;
  if (sendAll(Fd, Text) &&
      readMessage(Fd, Buffer, Reply.Answer, millisNow() + TimeoutMs, true))
    Reply.Status = Reply.Answer.status();
  ::close(Fd);
  return Reply;
}

inline std::string statusRequest(const std::string &Id,
                                 const std::string &Tenant) {
  return "GET /status/" + Id +
         " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + Id +
         "\r\nX-Key: key-" + Tenant +
         "\r\nX-Deadline-Remaining-Ms: 2500\r\n\r\n";
}

inline std::string
matchRequest(const std::string &Id, const std::string &Tenant,
             const std::string &Model, const std::string &Tokens,
             const std::string &Parts, const std::string &More = "") {
  return "POST /match/" + Id +
         " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + Id +
         "\r\nX-Key: key-" + Tenant + "\r\nX-Model: " + Model +
         "\r\nX-Token-Usage: " + Tokens + "\r\nX-Prompt-Prefix-Hash: " + Parts +
         "\r\nX-Deadline-Remaining-Ms: 25000\r\n" + More +
         "Content-Length: 2\r\n\r\nhi";
}

// --- the frame of a case -----------------------------------------------------

/// Whether the disruption takes place.
inline bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

inline std::string temporaryFolder() {
  const char *Base = std::getenv("TMPDIR");
  std::string Pattern = std::string(Base ? Base : "/tmp") + "/case-XXXXXX";
  std::vector<char> Name(Pattern.begin(), Pattern.end());
  Name.push_back('\0');
  return mkdtemp(Name.data()) ? std::string(Name.data()) : std::string{};
}

inline bool prepare(const char *RecordFile) {
  signal(SIGPIPE, SIG_IGN);
  Record = std::fopen(RecordFile, "w");
  rlimit Files{};
  getrlimit(RLIMIT_NOFILE, &Files);
  Files.rlim_cur = std::min<rlim_t>(Files.rlim_max, 20000);
  setrlimit(RLIMIT_NOFILE, &Files);
  return Record != nullptr;
}

} // namespace kit
