#define BOOST_TEST_MODULE caller_fuzz
#include "loopback.h"

#include "caller_server.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t Port = 17431;
constexpr std::size_t MaxBodyBytes = 64U << 10U;
constexpr std::size_t Bound = 1U << 20U;
constexpr int Steps = 600;
constexpr std::size_t MaxCallers = 60;
/// More by hand: CALLER_FUZZ_SEEDS=500 build/caller_fuzz_test
constexpr unsigned DefaultSeeds = 6;

unsigned seeds() {
  const char *Text = std::getenv("CALLER_FUZZ_SEEDS");
  return Text ? static_cast<unsigned>(std::strtoul(Text, nullptr, 10))
              : DefaultSeeds;
}

/// Callers and a handler that do anything, drawn by a seed.
struct fuzzed_server {
  explicit fuzzed_server(unsigned Seed) : Random(Seed) {
    Thread.run([this] {
      Server = std::make_unique<caller_server>(
          Thread.Context, "127.0.0.1:" + std::to_string(Port),
          [this](std::shared_ptr<caller_exchange> E) { handle(std::move(E)); },
          nullptr, Account);
      server_limits Limits;
      Limits.MaxHeaderBytes = 2048;
      Limits.MaxBodyBytes = MaxBodyBytes;
      Server->setLimits(Limits);
    });
  }
  ~fuzzed_server() {
    Thread.run([this] {
      Held.clear();
      Server.reset();
    });
  }

  std::size_t draw(std::size_t Below) {
    return std::uniform_int_distribution<std::size_t>(0, Below - 1)(Random);
  }

  /// A request, often a broken one, cut anywhere.
  std::string drawBytes() {
    const std::size_t Size = draw(8) == 0 ? draw(3 * MaxBodyBytes) : draw(3000);
    std::string Text = draw(2) == 0 ? "POST /" : "GET /";
    Text += std::to_string(draw(4)) + " HTTP/1.1\r\nHost: h\r\n";
    switch (draw(6)) {
    case 0:
      Text += "Transfer-Encoding: chunked\r\n\r\n";
      for (std::size_t Sent = 0, Piece = 1 + draw(500); Sent < Size;
           Sent += Piece) {
        std::array<char, 16> Hex{};
        std::snprintf(Hex.data(), Hex.size(), "%zx\r\n", Piece);
        Text += Hex.data() + std::string(Piece, 'c') + "\r\n";
      }
      Text += "0\r\n\r\n";
      break;
    case 1:
      Text += "X: " + std::string(Size, 'h') + "\r\n\r\n";
      break;
    case 2:
      Text += "Content-Length: 99999999\r\n\r\n" + std::string(Size, 'l');
      break;
    default:
      Text += "Content-Length: " + std::to_string(Size) + "\r\n\r\n" +
              std::string(Size, 'b');
    }
    if (draw(3) == 0)
      Text.resize(draw(Text.size()));
    if (draw(10) == 0)
      Text[draw(Text.size() + 1) % std::max<std::size_t>(1, Text.size())] =
          static_cast<char>(draw(256));
    return Text;
  }

  void handle(std::shared_ptr<caller_exchange> Exchange) {
    const char Kind = Exchange->head().Target.back();
    Bodies += Exchange->body().size();
    if (Kind == '0') {
      Exchange->answer(200, {}, Exchange->body());
    } else if (Kind == '1') {
      Exchange->begin(200, {});
      for (int I = 0; I < 40; ++I)
        Exchange->write(std::string(2000, 'w'));
      Exchange->end();
    } else {
      Held.push_back(std::move(Exchange));
    }
  }

  void step() {
    switch (Callers.empty() ? 0 : draw(6)) {
    case 0:
      if (Callers.size() < MaxCallers) {
        Callers.emplace_back(Clients);
        boost::system::error_code Ignored; // the server may refuse it
        Callers.back().connect(
            {boost::asio::ip::make_address("127.0.0.1"), Port}, Ignored);
        Callers.back().non_blocking(true, Ignored);
      }
      break;
    case 1: {
      const auto At = Callers.begin() + static_cast<long>(draw(Callers.size()));
      boost::system::error_code Ignored; // it may be closed already
      if (draw(2) == 0)
        At->set_option(boost::asio::socket_base::linger(true, 0), Ignored);
      Callers.erase(At);
      break;
    }
    case 2: {
      std::vector<char> Buffer(1 + draw(100'000));
      boost::system::error_code Ignored; // there may be nothing
      Callers[draw(Callers.size())].read_some(boost::asio::buffer(Buffer),
                                              Ignored);
      break;
    }
    case 3:
      Thread.run([this] {
        if (!Held.empty())
          Held.erase(Held.begin() + static_cast<long>(draw(Held.size())));
      });
      break;
    default: {
      const std::string Bytes = drawBytes();
      boost::system::error_code Ignored; // its buffer may be full
      Callers[draw(Callers.size())].write_some(boost::asio::buffer(Bytes),
                                               Ignored);
    }
    }
    Thread.run([this] {
      MaxHeld = std::max(MaxHeld, Account->held());
      for (std::size_t I = 0; I < Seen.size(); ++I)
        Seen[I] |= Account->held(static_cast<memory_holder>(I)) > 0;
    });
  }

  std::size_t openConnections() {
    std::size_t Count = 0;
    Thread.run([&] {
      Held.clear();
      Count = Server->connections();
    });
    return Count;
  }

  context_thread Thread;
  memory_account_ptr Account = std::make_shared<memory_account>(Bound);
  std::unique_ptr<caller_server> Server;
  std::vector<std::shared_ptr<caller_exchange>> Held;
  boost::asio::io_context Clients;
  std::vector<boost::asio::ip::tcp::socket> Callers;
  std::mt19937_64 Random;
  std::size_t Bodies = 0;
  std::size_t MaxHeld = 0;
  std::array<bool, static_cast<std::size_t>(memory_holder::Tunnel)> Seen{};
};

} // namespace

// Whatever callers send, and wherever they cut it, the server stays within its
// account, and the account is empty once they are gone.
BOOST_AUTO_TEST_CASE(account_holds_under_any_callers) {
  std::array<bool, static_cast<std::size_t>(memory_holder::Tunnel)> Seen{};
  for (unsigned Seed = 1; Seed <= seeds(); ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      fuzzed_server Fuzzed(Seed);
      for (int Step = 0; Step < Steps; ++Step)
        Fuzzed.step();
      BOOST_TEST(Fuzzed.MaxHeld <= Bound);
      Fuzzed.Callers.clear();
      while (Fuzzed.openConnections() > 0)
        std::this_thread::sleep_for(10ms);
      BOOST_TEST(Fuzzed.Account->held() == 0U);
      for (std::size_t I = 0; I < Seen.size(); ++I)
        Seen[I] |= Fuzzed.Seen[I];
    }
  }
  for (std::size_t I = 0; I < Seen.size(); ++I)
    BOOST_TEST(Seen[I], nameOf(static_cast<memory_holder>(I))
                            << " was never charged");
}
