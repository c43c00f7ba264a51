#include "sockets.h"

#include "config.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <charconv>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/ioctl.h>
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

delivery_state deliveryState(boost::asio::ip::tcp::socket &Socket) {
  const int Handle = Socket.native_handle();
  int Error = 0;
  socklen_t Size = sizeof Error;
  if (getsockopt(Handle, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 ||
      Error != 0)
    return delivery_state::Lost;
  int Unacknowledged = 0;
  if (ioctl(Handle, SIOCOUTQ, &Unacknowledged) != 0)
    return delivery_state::Lost;
  return Unacknowledged == 0 ? delivery_state::Delivered
                             : delivery_state::Pending;
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
