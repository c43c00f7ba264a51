#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
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

/// Whether what was written to a connection has reached the other end's system.
enum class delivery_state : std::uint8_t { Delivered, Pending, Lost };

/// Takes a pending error of the socket, which the system reports only once.
delivery_state deliveryState(boost::asio::ip::tcp::socket &Socket);

/// Appends the bytes that are available without blocking; `would_block` if
/// there are none.
///
/// Memory is allocated only for bytes that have arrived, so thousands of idle
/// connections hold no buffers.
boost::system::error_code readAvailable(boost::asio::ip::tcp::socket &Socket,
                                        std::string &Bytes);

} // namespace clementinelane
