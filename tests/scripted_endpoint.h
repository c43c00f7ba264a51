#pragma once

// Must precede Boost.Asio, which uses std::exchange without including it.
#include <utility>

#include <boost/asio.hpp>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace clementinelane {

/// How a scripted endpoint responds to one request.
struct scripted_response {
  std::string Bytes;
  bool KeepOpen = true;        ///< leave the connection open
  std::string RepeatedBytes{}; ///< sent repeatedly afterwards
};

/// An endpoint on a free port of 127.0.0.1 that responds with given bytes, for
/// protocol violations that no HTTP library produces.
class scripted_endpoint {
public:
  /// `Connection` counts from 0, `Request` from 0 on each connection.
  using script = std::function<scripted_response(int Connection, int Request)>;

  explicit scripted_endpoint(script Script)
      : Script(std::move(Script)), Thread([this] { accept(); }) {}
  ~scripted_endpoint() {
    boost::system::error_code Ignored;
    ::shutdown(Acceptor.native_handle(), SHUT_RDWR);
    Thread.join();
    for (auto &[Socket, Reader] : Connections) {
      Socket.shutdown(tcp::socket::shutdown_both, Ignored);
      Reader.join();
    }
  }
  scripted_endpoint(const scripted_endpoint &) = delete;
  scripted_endpoint &operator=(const scripted_endpoint &) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }
  int requests(const std::string &Path) const {
    const std::scoped_lock Lock(Mutex);
    const auto Found = Requests.find(Path);
    return Found == Requests.end() ? 0 : Found->second;
  }

private:
  using tcp = boost::asio::ip::tcp;
  static constexpr auto RepeatInterval = std::chrono::milliseconds(5);
  struct connection {
    tcp::socket Socket;
    std::thread Reader;
  };

  void accept() {
    boost::system::error_code Error;
    for (int Number = 0;; ++Number) {
      tcp::socket Socket(Context);
      Acceptor.accept(Socket, Error);
      if (Error)
        return;
      auto &Each = Connections.emplace_back(connection{std::move(Socket), {}});
      Each.Reader =
          std::thread([this, &Each, Number] { read(Each.Socket, Number); });
    }
  }

  void read(tcp::socket &Socket, int Number) {
    boost::system::error_code Error;
    std::string Bytes;
    for (int Request = 0;; ++Request) {
      const auto Head = boost::asio::read_until(
          Socket, boost::asio::dynamic_buffer(Bytes), "\r\n\r\n", Error);
      if (Error)
        return;
      const std::string Line = Bytes.substr(0, Bytes.find('\r'));
      std::size_t Length = 0;
      constexpr std::string_view LengthName = "Content-Length:";
      if (const auto At = Bytes.find(LengthName); At < Head)
        Length = std::stoul(Bytes.substr(At + LengthName.size()));
      if (Bytes.size() < Head + Length)
        boost::asio::read(
            Socket, boost::asio::dynamic_buffer(Bytes),
            boost::asio::transfer_exactly(Head + Length - Bytes.size()), Error);
      Bytes.erase(0, Head + Length);
      {
        const std::scoped_lock Lock(Mutex);
        ++Requests[Line.substr(0, Line.rfind(' '))];
      }
      const scripted_response Answer = Script(Number, Request);
      boost::asio::write(Socket, boost::asio::buffer(Answer.Bytes), Error);
      while (!Answer.RepeatedBytes.empty() && !Error) {
        boost::asio::write(Socket, boost::asio::buffer(Answer.RepeatedBytes),
                           Error);
        boost::asio::steady_timer(Context, RepeatInterval).wait();
      }
      if (!Answer.KeepOpen)
        return static_cast<void>(
            Socket.shutdown(tcp::socket::shutdown_both, Error));
    }
  }

  script Script;
  boost::asio::io_context Context;
  tcp::acceptor Acceptor{
      Context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
  mutable std::mutex Mutex;
  std::map<std::string, int> Requests; ///< by method and path
  std::list<connection> Connections;
  std::thread Thread;
};

} // namespace clementinelane
