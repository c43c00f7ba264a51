#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace clementinelane {

/// Parses "IP:PORT"; none if malformed.
std::optional<boost::asio::ip::tcp::endpoint>
parseAddress(std::string_view Address);

/// Sets no-delay, keep-alive probes and a user timeout.
///
/// Failure: a peer loses power, or a device on the path forgets the connection;
/// no reset arrives, and the request would wait for its deadline. The probes
/// close such a connection within config::TcpUserTimeout.
void setSocketOptions(boost::asio::ip::tcp::socket &Socket);

/// Whether a write's error means that the connection was lost. The system
/// reports a loss once: after such a write, a read finds an end that looks
/// orderly.
bool isLoss(const boost::system::error_code &WriteError);

/// Completion condition of a write that ends early once `IsEnded` is set. The
/// flag must outlive the write.
inline auto unless(const bool &IsEnded) {
  constexpr std::size_t MaxWriteBytes = 64U << 10U;
  return [&IsEnded](const boost::system::error_code &Error, std::size_t) {
    return Error || IsEnded ? 0 : MaxWriteBytes;
  };
}

/// Appends the bytes that are available without blocking; `would_block` if
/// there are none.
///
/// Memory is allocated only for bytes that have arrived, so thousands of idle
/// connections hold no buffers.
boost::system::error_code readAvailable(boost::asio::ip::tcp::socket &Socket,
                                        std::string &Bytes);

} // namespace clementinelane
