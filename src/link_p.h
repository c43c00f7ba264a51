#pragma once

#include "capacity/memory_account.h"
#include "clementinelane/error.h"

#include <array>
#include <boost/asio.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <string>
#include <string_view>

/// An HTTP/2 connection between two processes of this project, on Boost.Asio.
namespace clementinelane::link_detail {

/// Concurrent calls on one connection; a VM has at most a few hundred.
constexpr std::uint32_t MaxStreams = 1024;
/// What a connection holds beside its calls, and a call beside its bodies.
constexpr std::size_t LinkConnectionBytes = 48U << 10U;
constexpr std::size_t LinkCallBytes = 1U << 10U;
constexpr std::size_t MaxLinkPathBytes = 256;
/// Connections that have made no call yet.
constexpr std::size_t MaxUnusedConnections = 64;
/// Flow-control window in bytes, large enough to send a snapshot without an
/// extra round trip.
constexpr std::uint32_t WindowBytes = 1U << 20U;
/// Bytes after which no more frames are added to one write.
constexpr std::size_t WriteBatchBytes = 64U << 10U;

result<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view Address);

/// A request or response being received.
struct incoming {
  std::string Path;
  std::string Body;
  int ErrorKind = 0;
  bool IsMalformed = false; ///< a response that no process of ours sends
};

class connection;

/// Events of a connection, always raised on its owner's thread.
class stream_events {
public:
  virtual void onMessage(connection &From, std::int32_t Stream,
                         incoming Message) = 0;
  virtual void onStreamClosed(connection &From, std::int32_t Stream) = 0;
  virtual void onLost(connection &From) = 0;
  /// Ends another connection that holds more; false if there is none.
  virtual bool makeRoom(connection &) { return false; }

protected:
  ~stream_events() = default;
};

class connection : public std::enable_shared_from_this<connection> {
public:
  connection(boost::asio::ip::tcp::socket Socket, stream_events &Events,
             memory_account_ptr Memory = nullptr);
  ~connection();
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  void start(bool IsServer);
  /// Returns the stream's id, or a negative nghttp2 error code.
  std::int32_t submitRequest(std::string_view Path, std::string Body);
  void submitResponse(std::int32_t Stream, result<std::string> Reply);
  void close();
  bool isClosed() const { return Closed; }
  /// Whether a whole message has arrived.
  bool isUsed() const { return IsUsed; }
  std::size_t heldBytes() const;

private:
  struct outgoing {
    std::string Body;
    std::size_t Sent = 0;
  };

  static nghttp2_nv makeHeader(std::string_view Name, std::string_view Value);
  static nghttp2_data_provider makeDataProvider(outgoing *Out);
  static ssize_t readBody(nghttp2_session *, std::int32_t, std::uint8_t *Buffer,
                          std::size_t Size, std::uint32_t *Flags,
                          nghttp2_data_source *Source, void *);
  static int onHeader(nghttp2_session *, const nghttp2_frame *Frame,
                      const std::uint8_t *Name, std::size_t NameSize,
                      const std::uint8_t *Value, std::size_t ValueSize,
                      std::uint8_t, void *Self);
  static int onData(nghttp2_session *Session, std::uint8_t, std::int32_t Stream,
                    const std::uint8_t *Bytes, std::size_t Size, void *Self);
  static int onFrame(nghttp2_session *, const nghttp2_frame *Frame, void *Self);
  static int onClose(nghttp2_session *, std::int32_t Stream, std::uint32_t,
                     void *Self);
  void read();
  void flush();
  /// Charges what it holds, and closes if that doesn't fit.
  void holdOrClose();

  boost::asio::ip::tcp::socket Socket;
  stream_events &Events;
  nghttp2_session *Session = nullptr;
  std::array<std::uint8_t, 16384> Buffer{};
  std::string WriteBuffer;
  bool Writing = false;
  bool Closed = false;
  bool IsUsed = false;
  memory_charge Charge;
  std::map<std::int32_t, incoming> Receiving;
  std::map<std::int32_t, std::unique_ptr<outgoing>> Sending;
};

} // namespace clementinelane::link_detail
