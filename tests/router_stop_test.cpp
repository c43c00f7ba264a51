#define BOOST_TEST_MODULE router_stop
#include "router_process.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

namespace {

/// A caller with a request of its own id.
struct caller {
  explicit caller(unsigned Number) : Id("late-" + std::to_string(Number)) {}

  /// False if the connection is refused.
  bool send() {
    boost::system::error_code Error;
    Socket.connect(router_process::callers(), Error);
    if (Error)
      return false;
    std::string Text = router_process::ordinaryRequest(16);
    const std::string Shared = "X-Attempt-Id: crowd";
    Text.replace(Text.find(Shared), Shared.size(), "X-Attempt-Id: " + Id);
    boost::asio::write(Socket, boost::asio::buffer(Text), Error);
    return true;
  }
  std::string answer() {
    std::string Text;
    boost::system::error_code Ignored; // the answer's end is checked
    boost::asio::read(Socket, boost::asio::dynamic_buffer(Text), Ignored);
    return Text;
  }

  std::string Id;
  boost::asio::io_context Context;
  tcp::socket Socket{Context};
};

} // namespace

// Failure: in a stop with a short grace period, requests that come late are
// passed on, and cut at its end without an answer.
BOOST_AUTO_TEST_CASE(requests_passed_on_before_a_stop_end_with_an_answer) {
  router_process Vm(router_process::DescriptorLimit, 4s, "clementine_router",
                    "grace_period_s = 2\n");
  std::vector<std::unique_ptr<caller>> Callers;
  const auto Send = [&Callers] {
    Callers.push_back(
        std::make_unique<caller>(static_cast<unsigned>(Callers.size())));
    return Callers.back()->send();
  };
  BOOST_TEST(Send());
  Vm.Router->signal(SIGTERM);
  while (Send())
    std::this_thread::sleep_for(50ms);
  Callers.pop_back();
  Vm.Router->wait();
  const std::string Runs = exchangeUntilServed(router_process::service(),
                                               getRequest("/standin/runs"));
  unsigned PassedOn = 0;
  for (const auto &Caller : Callers) {
    const std::string Answer = Caller->answer();
    if (Runs.find("\n" + Caller->Id + " ") == std::string::npos)
      continue;
    ++PassedOn;
    BOOST_TEST(Answer.starts_with("HTTP/1.1 502"), Caller->Id);
    BOOST_TEST(Answer.ends_with("}"), Caller->Id);
  }
  BOOST_TEST(PassedOn > 0U);
}
