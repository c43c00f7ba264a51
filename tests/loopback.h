#pragma once

// Must precede Boost.Asio, which uses std::exchange without including it.
#include <utility>

#include <boost/asio.hpp>
#include <chrono>
#include <fcntl.h>
#include <functional>
#include <future>
#include <stdexcept>
#include <string>
#include <sys/file.h>
#include <thread>

namespace clementinelane {

/// Waits until no other test program uses the fixed ports of the tests. They
/// are this program's until it ends.
inline void reservePorts() {
  static const int Lock = [] {
    const int File = ::open("/tmp/clementinelane-test-ports",
                            O_CREAT | O_RDWR | O_CLOEXEC, 0666);
    if (File < 0 || ::flock(File, LOCK_EX) != 0)
      throw std::runtime_error("the tests' ports can't be locked");
    return File;
  }();
  static_cast<void>(Lock);
}

/// Runs an io_context on its own thread. run() waits until the function has run
/// there.
class context_thread {
public:
  context_thread() : Guard(boost::asio::make_work_guard(Context)) {
    reservePorts();
    Thread = std::thread([this] { Context.run(); });
  }
  ~context_thread() {
    Context.stop();
    Thread.join();
  }
  context_thread(const context_thread &) = delete;
  context_thread &operator=(const context_thread &) = delete;

  void run(const std::function<void()> &Function) {
    std::promise<void> Done;
    boost::asio::post(Context, [&] {
      Function();
      Done.set_value();
    });
    Done.get_future().wait();
  }

  boost::asio::io_context Context;

private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;
  std::thread Thread;
};

/// A blocking TCP peer that sends and receives raw bytes.
class raw_peer {
public:
  explicit raw_peer(std::uint16_t Port) : Socket(Context) {
    Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
  }
  explicit raw_peer(boost::asio::ip::tcp::acceptor &Acceptor)
      : Socket(Context) {
    Acceptor.accept(Socket);
  }

  void send(std::string_view Bytes) {
    boost::system::error_code Ignored; // the peer may have closed
    boost::asio::write(Socket, boost::asio::buffer(Bytes.data(), Bytes.size()),
                       Ignored);
  }
  /// Reads until the received bytes end with `End`, or the peer closes.
  std::string readUntil(std::string_view End) {
    while (!Received.ends_with(End) && readSome()) {
    }
    return std::exchange(Received, {});
  }
  /// Reads until the peer closes.
  std::string readAll() {
    while (readSome()) {
    }
    return std::exchange(Received, {});
  }
  /// Reads through the first `Text`; false if the peer closes before it.
  bool readThrough(std::string_view Text) {
    while (Received.find(Text) == std::string::npos)
      if (!readSome())
        return false;
    Received.erase(0, Received.find(Text) + Text.size());
    return true;
  }
  void close() { Socket.close(); }
  /// Ends what this peer sends, and still receives.
  void shutdownSend() {
    Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
  }
  void reset() {
    Socket.set_option(boost::asio::socket_base::linger(true, 0));
    Socket.close();
  }

private:
  bool readSome() {
    std::array<char, 4096> Buffer;
    boost::system::error_code Error;
    const std::size_t Count =
        Socket.read_some(boost::asio::buffer(Buffer), Error);
    Received.append(Buffer.data(), Count);
    return !Error;
  }

  boost::asio::io_context Context;
  boost::asio::ip::tcp::socket Socket;
  std::string Received;
};

} // namespace clementinelane
