#include "sockets.h"

#include "config.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>

namespace clementinelane {

std::optional<boost::asio::ip::tcp::endpoint>
parseAddress(std::string_view Address) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  boost::system::error_code Error;
  const auto Ip = boost::asio::ip::make_address_v4(
      std::string(Address.substr(0, Colon)), Error);
  std::uint16_t Port = 0;
  const char *End = Address.data() + Address.size();
  const auto [Rest, ParseError] =
      std::from_chars(Address.data() + Colon + 1, End, Port);
  if (Error || ParseError != std::errc() || Rest != End)
    return std::nullopt;
  return boost::asio::ip::tcp::endpoint(Ip, Port);
}

void setSocketOptions(boost::asio::ip::tcp::socket &Socket) {
  boost::system::error_code Ignored; // the connection may be closed already
  Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
  Socket.set_option(boost::asio::socket_base::keep_alive(true), Ignored);
  const int Handle = Socket.native_handle();
  const auto Set = [Handle](int Option, int Value) {
    setsockopt(Handle, IPPROTO_TCP, Option, &Value, sizeof Value);
  };
  Set(TCP_KEEPIDLE, config::KeepAliveIdleSeconds);
  Set(TCP_KEEPINTVL, config::KeepAliveIntervalSeconds);
  Set(TCP_KEEPCNT, config::KeepAliveProbes);
  Set(TCP_USER_TIMEOUT,
      static_cast<int>(
          std::chrono::milliseconds(config::TcpUserTimeout).count()));
}

// The peer had ended its sending side in order before it refused what was
// written, or the write was cancelled here.
bool isLoss(const boost::system::error_code &WriteError) {
  return WriteError && WriteError != boost::asio::error::broken_pipe &&
         WriteError != boost::asio::error::operation_aborted;
}

boost::system::error_code readAvailable(boost::asio::ip::tcp::socket &Socket,
                                        std::string &Bytes) {
  boost::system::error_code Error;
  Socket.non_blocking(true, Error);
  if (Error)
    return Error;
  std::array<char, config::SocketReadBytes> Buffer;
  const std::size_t Count =
      Socket.read_some(boost::asio::buffer(Buffer), Error);
  Bytes.append(Buffer.data(), Count);
  return Error;
}

} // namespace clementinelane
