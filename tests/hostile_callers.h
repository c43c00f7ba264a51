#pragma once

#include "loopback.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <poll.h>
#include <span>
#include <spawn.h>
#include <sstream>
#include <sys/ioctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace clementinelane {

constexpr std::size_t Megabyte = 1U << 20U;
constexpr std::size_t MaxCallerBodyBytes = 4 * Megabyte;

/// The folder of the test programs, and of the product's.
inline std::filesystem::path programFolder() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

/// A folder that is removed with its content.
class temporary_folder {
public:
  temporary_folder() {
    std::string Name =
        (std::filesystem::temp_directory_path() / "hostile-XXXXXX").string();
    if (!::mkdtemp(Name.data()))
      throw std::runtime_error("no temporary folder");
    Path = Name;
  }
  ~temporary_folder() { std::filesystem::remove_all(Path); }
  temporary_folder(const temporary_folder &) = delete;
  temporary_folder &operator=(const temporary_folder &) = delete;

  std::string write(std::string_view Name, std::string_view Text) const {
    const std::filesystem::path File = Path / Name;
    std::ofstream(File) << Text;
    return File.string();
  }

private:
  std::filesystem::path Path;
};

/// A program of the build folder, killed with this object.
class child_process {
public:
  child_process(std::string_view Program, std::vector<std::string> Arguments) {
    const std::string Path = (programFolder() / Program).string();
    Arguments.insert(Arguments.begin(), Path);
    std::vector<char *> Pointers;
    for (std::string &Argument : Arguments)
      Pointers.push_back(Argument.data());
    Pointers.push_back(nullptr);
    posix_spawn_file_actions_t Actions;
    posix_spawn_file_actions_init(&Actions);
    posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, "/dev/null",
                                     O_WRONLY, 0);
    const int Error = ::posix_spawn(&Id, Path.c_str(), &Actions, nullptr,
                                    Pointers.data(), environ);
    posix_spawn_file_actions_destroy(&Actions);
    if (Error != 0)
      throw std::runtime_error("can't start " + Path);
  }
  ~child_process() {
    if (!isRunning())
      return;
    ::kill(Id, SIGKILL);
    ::waitpid(Id, nullptr, 0);
  }
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;

  void signal(int Number) const { ::kill(Id, Number); }
  void wait() {
    if (!HasEnded)
      ::waitpid(Id, nullptr, 0);
    HasEnded = true;
  }
  bool isRunning() {
    HasEnded = HasEnded || ::waitpid(Id, nullptr, WNOHANG) != 0;
    return !HasEnded;
  }
  std::size_t residentBytes() const { return statusBytes("VmRSS:"); }
  std::size_t peakResidentBytes() const { return statusBytes("VmHWM:"); }
  std::size_t descriptors() const {
    std::error_code Error; // it may have ended
    std::size_t Count = 0;
    for (std::filesystem::directory_iterator
             At("/proc/" + std::to_string(Id) + "/fd", Error),
         End;
         !Error && At != End; At.increment(Error))
      ++Count;
    return Count;
  }

private:
  std::size_t statusBytes(std::string_view Field) const {
    std::ifstream File("/proc/" + std::to_string(Id) + "/status");
    for (std::string Line; std::getline(File, Line);)
      if (Line.starts_with(Field))
        return std::stoul(Line.substr(Field.size())) * 1024;
    return 0;
  }

  pid_t Id = 0;
  bool HasEnded = false;
};

/// Bytes that wait unread in the sockets of the address, which the platform
/// counts for the process.
inline std::size_t unreadBytes(const boost::asio::ip::address_v4 &Ip) {
  std::ostringstream Local;
  Local << std::hex << std::uppercase;
  Local.width(8);
  Local.fill('0');
  Local << htonl(Ip.to_uint());
  std::size_t Sum = 0;
  std::ifstream File("/proc/net/tcp");
  for (std::string Line; std::getline(File, Line);) {
    std::istringstream Words(Line);
    std::string Row;
    std::string From;
    std::string To;
    std::string State;
    std::string Queues;
    Words >> Row >> From >> To >> State >> Queues;
    constexpr std::string_view Established = "01";
    if (!From.starts_with(Local.str()) || State != Established)
      continue;
    Sum += std::stoul(Queues.substr(Queues.find(':') + 1), nullptr, 16);
  }
  return Sum;
}

/// What a caller sends on a connection, which it then leaves open.
struct caller_script {
  std::string Begin;
  std::string Repeated;
  std::size_t Times = 0;
  std::string End;

  std::size_t size() const {
    return Begin.size() + Repeated.size() * Times + End.size();
  }
  /// The bytes at `Offset`, up to the end of their part.
  std::string_view at(std::size_t Offset) const {
    const std::size_t Middle = Repeated.size() * Times;
    if (Offset < Begin.size())
      return std::string_view(Begin).substr(Offset);
    Offset -= Begin.size();
    if (Offset < Middle)
      return std::string_view(Repeated).substr(Offset % Repeated.size());
    return std::string_view(End).substr(Offset - Middle);
  }
};

inline std::string postHead(std::string_view Target, std::string_view Framing,
                            std::string_view Key = "key-a") {
  return "POST " + std::string(Target) +
         " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: crowd\r\n"
         "X-Deadline-Remaining-Ms: 60000\r\nX-Key: " +
         std::string(Key) + "\r\n" + std::string(Framing) + "\r\n\r\n";
}

/// A body of `Bytes` by its length, without its last `Missing` bytes.
inline caller_script lengthBody(std::string_view Target, std::size_t Bytes,
                                std::size_t Missing,
                                std::string_view Key = "key-a") {
  constexpr std::size_t Piece = 16U << 10U;
  const std::size_t Sent = Bytes - Missing;
  return {postHead(Target, "Content-Length: " + std::to_string(Bytes), Key),
          std::string(Piece, 'x'), Sent / Piece,
          std::string(Sent % Piece, 'x')};
}

/// `Bytes` in chunks, without the last one.
inline caller_script chunkedBody(std::string_view Target, std::size_t Bytes,
                                 std::size_t ChunkBytes) {
  constexpr std::size_t PieceBytes = 1000;
  const std::size_t Chunks = std::max<std::size_t>(1, PieceBytes / ChunkBytes);
  std::ostringstream Text;
  for (std::size_t I = 0; I < Chunks; ++I)
    Text << std::hex << ChunkBytes << "\r\n"
         << std::string(ChunkBytes, 'x') << "\r\n";
  return {postHead(Target, "Transfer-Encoding: chunked"),
          Text.str(),
          Bytes / (Chunks * ChunkBytes),
          {}};
}

/// Connections that nobody closes. One that is refused or closed connects
/// again after a pause, up to `MaxTries` times.
class crowd {
public:
  static constexpr unsigned MaxTries = 20;
  static constexpr auto Pause = std::chrono::milliseconds(100);

  crowd(boost::asio::ip::tcp::endpoint Address, std::size_t Callers,
        caller_script Script, bool ReadsAnswers = true)
      : Address(std::move(Address)), Script(std::move(Script)),
        ReadsAnswers(ReadsAnswers) {
    for (std::size_t I = 0; I < Callers; ++I)
      Members.push_back(std::make_unique<member>(Context));
  }

  /// Sends one piece for each caller; false once all have sent everything or
  /// have given up.
  bool step() {
    bool IsActive = false;
    for (const auto &Member : Members)
      IsActive |= step(*Member);
    return IsActive;
  }
  /// Bytes that were sent and that the other side hasn't taken yet.
  std::size_t bytesUnderWay() const {
    std::size_t Sum = 0;
    for (const auto &Member : Members) {
      int Bytes = 0;
      if (Member->IsOpen)
        ::ioctl(Member->Socket.native_handle(), TIOCOUTQ, &Bytes);
      Sum += static_cast<std::size_t>(Bytes);
    }
    return Sum;
  }

private:
  struct member {
    explicit member(boost::asio::io_context &Context) : Socket(Context) {}
    boost::asio::ip::tcp::socket Socket;
    std::size_t Sent = 0;
    unsigned Tries = 0;
    bool IsOpen = false;
    std::chrono::steady_clock::time_point NextTry{};
  };

  bool step(member &Member) {
    if (!Member.IsOpen && !connect(Member))
      return Member.Tries < MaxTries;
    boost::system::error_code Error;
    std::array<char, 4096> Answer;
    if (ReadsAnswers)
      Member.Socket.read_some(boost::asio::buffer(Answer), Error);
    if (Error == boost::asio::error::would_block)
      Error = {};
    if (!Error && Member.Sent < Script.size()) {
      const std::string_view Bytes = Script.at(Member.Sent);
      Member.Sent += Member.Socket.write_some(
          boost::asio::buffer(Bytes.data(), Bytes.size()), Error);
      if (Error == boost::asio::error::would_block)
        Error = {};
    }
    if (Error) {
      Member.Socket.close(Error);
      Member.IsOpen = false;
      return Member.Tries < MaxTries;
    }
    return Member.Sent < Script.size();
  }

  bool connect(member &Member) {
    const auto Now = std::chrono::steady_clock::now();
    if (Member.Tries == MaxTries || Now < Member.NextTry)
      return false;
    ++Member.Tries;
    Member.NextTry = Now + Pause;
    boost::system::error_code Error;
    Member.Socket = boost::asio::ip::tcp::socket(Context);
    Member.Socket.connect(Address, Error);
    if (!Error)
      Member.Socket.non_blocking(true, Error);
    Member.IsOpen = !Error;
    Member.Sent = 0;
    return Member.IsOpen;
  }

  boost::asio::io_context Context;
  boost::asio::ip::tcp::endpoint Address;
  caller_script Script;
  bool ReadsAnswers;
  std::vector<std::unique_ptr<member>> Members;
};

/// Sends a request on a connection of its own and returns what comes back until
/// the other side closes; empty if it closes at once or refuses.
inline std::string exchangeOnce(const boost::asio::ip::tcp::endpoint &Address,
                                std::string_view Request) {
  boost::asio::io_context Context;
  boost::asio::ip::tcp::socket Socket(Context);
  boost::system::error_code Error;
  Socket.connect(Address, Error);
  if (!Error)
    boost::asio::write(
        Socket, boost::asio::buffer(Request.data(), Request.size()), Error);
  // What was refused in the middle of the request still has an answer.
  std::string Answer;
  std::array<char, 4096> Buffer;
  for (Error = {}; !Error;) {
    const std::size_t Count =
        Socket.read_some(boost::asio::buffer(Buffer), Error);
    Answer.append(Buffer.data(), Count);
  }
  return Answer;
}

/// Sends the request again while it is refused; returns the last answer.
inline std::string
exchangeUntilServed(const boost::asio::ip::tcp::endpoint &Address,
                    std::string_view Request) {
  constexpr unsigned MaxTries = 200;
  constexpr auto Pause = std::chrono::milliseconds(50);
  std::string Answer;
  for (unsigned Try = 0; Try < MaxTries && !Answer.starts_with("HTTP/1.1 200");
       ++Try) {
    if (Try > 0)
      std::this_thread::sleep_for(Pause);
    Answer = exchangeOnce(Address, Request);
  }
  return Answer;
}

inline std::string getRequest(std::string_view Target) {
  return "GET " + std::string(Target) +
         " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n";
}

inline boost::asio::ip::tcp::endpoint endpointOf(std::string_view Ip,
                                                 std::uint16_t Port) {
  return {boost::asio::ip::make_address(std::string(Ip)), Port};
}

/// What a process held at most, with the bytes that it left unread.
struct process_peak {
  std::size_t Bytes = 0;
  std::size_t Resident = 0; ///< without unread bytes
  std::size_t Descriptors = 0;

  void sample(const child_process &Process, std::string_view Ip) {
    const auto Address = boost::asio::ip::make_address_v4(std::string(Ip));
    Bytes = std::max(Bytes, Process.residentBytes() + unreadBytes(Address));
    Resident = std::max(Resident, Process.peakResidentBytes());
    Bytes = std::max(Bytes, Resident);
    Descriptors = std::max(Descriptors, Process.descriptors());
  }
};

/// Plays the crowd until the process has read all that it will read.
inline process_peak play(crowd &Crowd, const child_process &Process,
                         std::string_view Ip) {
  constexpr unsigned StepsPerSample = 64;
  constexpr unsigned UnchangedSamples = 50;
  constexpr auto Pause = std::chrono::milliseconds(10);
  process_peak Peak;
  for (unsigned Step = 0; Crowd.step(); ++Step)
    if (Step % StepsPerSample == 0)
      Peak.sample(Process, Ip);
  std::size_t Before = 0;
  for (unsigned Unchanged = 0; Unchanged < UnchangedSamples; ++Unchanged) {
    Peak.sample(Process, Ip);
    const std::size_t Bytes =
        Crowd.bytesUnderWay() +
        unreadBytes(boost::asio::ip::make_address_v4(std::string(Ip)));
    if (Bytes != Before)
      Unchanged = 0;
    Before = Bytes;
    std::this_thread::sleep_for(Pause);
  }
  return Peak;
}

} // namespace clementinelane
