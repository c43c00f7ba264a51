// Requests a second and peak memory of routers with bodies of several sizes,
// side by side in one run.
//   bodies_bench [--rounds N] ROUTER...   (programs; one of the build by
//   default)
#include "config.h"
#include "router_process.h"

#include <algorithm>
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_int32(rounds, 5, "runs of each router with each size");

namespace {

namespace cl = clementinelane;

struct body_size {
  const char *Name;
  std::size_t Bytes;
  unsigned Requests;
};
constexpr std::array<body_size, 3> Sizes{
    {{"200 B", 200, 4000},
     {"64 kB", 64U << 10U, 1000},
     {"4 MB", cl::MaxCallerBodyBytes, 40}}};
constexpr unsigned Connections = 4;

/// A kept connection.
struct caller {
  boost::asio::io_context Context;
  boost::asio::ip::tcp::socket Socket{Context};
  boost::asio::streambuf Received;

  caller() { Socket.connect(cl::router_process::callers()); }

  /// Whether the answer is whole and a success.
  bool exchange(std::string_view Request) {
    boost::asio::write(Socket,
                       boost::asio::buffer(Request.data(), Request.size()));
    const std::size_t HeadBytes =
        boost::asio::read_until(Socket, Received, "\r\n\r\n");
    const auto Begin = boost::asio::buffers_begin(Received.data());
    const std::string Head(Begin, Begin + static_cast<long>(HeadBytes));
    Received.consume(HeadBytes);
    constexpr std::string_view Length = "Content-Length: ";
    const std::size_t At = Head.find(Length);
    if (At == std::string::npos)
      return false;
    const std::size_t Bytes = std::stoul(Head.substr(At + Length.size()));
    if (Received.size() < Bytes)
      boost::asio::read(Socket, Received,
                        boost::asio::transfer_exactly(Bytes - Received.size()));
    Received.consume(Bytes);
    return Head.starts_with("HTTP/1.1 200");
  }
};

struct figures {
  double PerSecond = 0;
  double PeakMegabytes = 0;
  unsigned Failed = 0;
};

/// Loopback carries more than the link in the settings, beyond which a router
/// closes connections.
void liftLinkLimit(const cl::router_process &Vm) {
  const std::filesystem::path Folder =
      std::filesystem::path(Vm.Folder.write("limits", "")).parent_path();
  std::stringstream Text;
  Text << std::ifstream(Folder / "vm.toml").rdbuf();
  std::string Settings = Text.str();
  constexpr std::string_view Limit = "link_bandwidth_mbps = 1000.0";
  const std::size_t At = Settings.find(Limit);
  if (At == std::string::npos)
    throw std::runtime_error("the settings have no link limit");
  Settings.replace(At, Limit.size(), "link_bandwidth_mbps = 1000000.0");
  Vm.Folder.write("vm.toml", Settings);
  // Routers read it again at intervals.
  std::this_thread::sleep_for(2 * cl::config::SettingsPollInterval);
}

figures measure(const std::string &Program, const body_size &Size) {
  cl::router_process Vm(cl::router_process::DescriptorLimit,
                        std::chrono::milliseconds(0), Program);
  liftLinkLimit(Vm);
  const std::string Request =
      cl::postHead("/lookup/1",
                   "Content-Length: " + std::to_string(Size.Bytes)) +
      std::string(Size.Bytes, 'b');
  std::atomic<unsigned> Failed{0};
  const auto Begin = std::chrono::steady_clock::now();
  std::vector<std::thread> Threads;
  for (unsigned I = 0; I < Connections; ++I)
    Threads.emplace_back([&] {
      try {
        caller Caller;
        for (unsigned Sent = 0; Sent < Size.Requests / Connections; ++Sent)
          Failed += Caller.exchange(Request) ? 0 : 1;
      } catch (const std::exception &) {
        Failed += Size.Requests / Connections;
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  const double Seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - Begin)
          .count();
  return {Size.Requests / Seconds,
          static_cast<double>(Vm.Router->peakResidentBytes()) / 1e6, Failed};
}

double median(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  return Values[Values.size() / 2];
}

} // namespace

int main(int ArgCount, char **Args) {
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  std::vector<std::string> Programs(Args + 1, Args + ArgCount);
  if (Programs.empty())
    Programs.emplace_back("clementine_router");
  std::printf("%-7s %-40s %12s %9s %7s\n", "body", "router", "requests/s",
              "peak MB", "failed");
  for (const body_size &Size : Sizes) {
    std::vector<std::vector<double>> Rates(Programs.size());
    std::vector<figures> Worst(Programs.size());
    for (int Round = 0; Round < FLAGS_rounds; ++Round)
      for (std::size_t I = 0; I < Programs.size(); ++I) {
        const figures Each = measure(Programs[I], Size);
        Rates[I].push_back(Each.PerSecond);
        Worst[I].PeakMegabytes =
            std::max(Worst[I].PeakMegabytes, Each.PeakMegabytes);
        Worst[I].Failed += Each.Failed;
      }
    for (std::size_t I = 0; I < Programs.size(); ++I)
      std::printf("%-7s %-40s %12.1f %9.1f %7u\n", Size.Name,
                  Programs[I].c_str(), median(Rates[I]), Worst[I].PeakMegabytes,
                  Worst[I].Failed);
  }
  return 0;
}
