#pragma once

// Must precede Boost.Asio, which uses std::exchange without including it.
#include <utility>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <string>
#include <thread>

namespace clementinelane {

/// How an endpoint ends a connection while a request is written to it.
enum class cut_kind : std::uint8_t {
  Reset,    ///< resets it
  Unread,   ///< closes it while received bytes are unread
  Crash,    ///< closes it when nothing is unread; later bytes are refused
  HalfClose ///< ends its sending side, and resets it soon after
};

struct cut {
  cut_kind Kind;
  std::size_t ReadBytes;           ///< of the request, before it answers
  std::chrono::milliseconds Delay; ///< between its answer and the cut
  bool HasSmallWindow;             ///< takes few bytes that it hasn't read
};

/// An endpoint on a free port of 127.0.0.1 that answers each request with
/// `Body` before it has read it, without a length, and cuts the connection.
class cutting_endpoint {
public:
  cutting_endpoint(const cut &Cut, std::string Body)
      : Cut(Cut), Body(std::move(Body)) {
    Acceptor.open(tcp::v4());
    if (Cut.HasSmallWindow)
      Acceptor.set_option(
          boost::asio::socket_base::receive_buffer_size(SmallWindowBytes));
    Acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    Acceptor.listen();
    Thread = std::thread([this] { accept(); });
  }
  ~cutting_endpoint() {
    ::shutdown(Acceptor.native_handle(), SHUT_RDWR);
    Thread.join();
  }
  cutting_endpoint(const cutting_endpoint &) = delete;
  cutting_endpoint &operator=(const cutting_endpoint &) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }
  /// Uploads whose answer was cut.
  int uploads() const { return Uploads; }

private:
  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;
  static constexpr int SmallWindowBytes = 4096;

  void accept() {
    while (true) {
      error_code Error;
      tcp::socket Socket(Context);
      Acceptor.accept(Socket, Error);
      if (Error)
        return;
      serve(Socket);
    }
  }

  void serve(tcp::socket &Socket) {
    error_code Error;
    std::string Bytes;
    const std::size_t Head = boost::asio::read_until(
        Socket, boost::asio::dynamic_buffer(Bytes), "\r\n\r\n", Error);
    if (Error)
      return;
    if (Bytes.size() < Head + Cut.ReadBytes)
      boost::asio::read(
          Socket, boost::asio::dynamic_buffer(Bytes),
          boost::asio::transfer_at_least(Head + Cut.ReadBytes - Bytes.size()),
          Error);
    boost::asio::write(Socket,
                       boost::asio::buffer("HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
                                           attemptId(Bytes) +
                                           "\r\nX-Instance-Signature: s\r\n"
                                           "Content-Type: text/event-stream"
                                           "\r\n\r\n" +
                                           Body),
                       Error);
    std::this_thread::sleep_for(Cut.Delay);
    end(Socket);
    ++Uploads;
  }

  void end(tcp::socket &Socket) const {
    error_code Ignored; // the router may have closed already
    switch (Cut.Kind) {
    case cut_kind::Unread:
      break;
    case cut_kind::Crash:
      readAvailable(Socket);
      break;
    case cut_kind::HalfClose:
      Socket.shutdown(tcp::socket::shutdown_send, Ignored);
      std::this_thread::sleep_for(HalfClosedTime);
      [[fallthrough]];
    case cut_kind::Reset:
      Socket.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
    }
    Socket.close(Ignored);
  }

  static void readAvailable(tcp::socket &Socket) {
    std::array<char, 1U << 16U> Buffer;
    error_code Error;
    Socket.non_blocking(true, Error);
    for (std::size_t Read = 0; !Error && Read < MaxDrainedBytes;)
      Read += Socket.read_some(boost::asio::buffer(Buffer), Error);
  }

  static std::string attemptId(const std::string &Request) {
    const std::string Name = "X-Attempt-Id: ";
    const std::size_t At = Request.find(Name);
    if (At == std::string::npos)
      return {};
    const std::size_t Begin = At + Name.size();
    return Request.substr(Begin, Request.find('\r', Begin) - Begin);
  }

  /// Some of the request must be left, so that it is cut.
  static constexpr std::size_t MaxDrainedBytes = std::size_t{256} << 10U;
  static constexpr auto HalfClosedTime = std::chrono::milliseconds(20);

  cut Cut;
  std::string Body;
  std::atomic<int> Uploads = 0;
  boost::asio::io_context Context;
  tcp::acceptor Acceptor{Context};
  std::thread Thread;
};

} // namespace clementinelane
