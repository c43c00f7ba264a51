#pragma once

#include "capacity/memory_account.h"
#include "clock.h"
#include "http_framing.h"
#include "lifetime.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string_view>

namespace clementinelane {

/// A caller's request, read completely, and its answer. All calls are made on
/// the server's thread; they have no effect once the caller has disconnected.
class caller_exchange {
public:
  virtual ~caller_exchange() = default;
  virtual const http_head &head() const = 0;
  /// Empty once it was taken.
  virtual const std::string &body() const = 0;
  /// Its only copy; null if it is empty.
  virtual std::shared_ptr<const std::string> takeBody() = 0;
  /// The same, charged to the account until this object is destroyed.
  virtual std::string moveBody() = 0;
  /// What the policy reserved for the connection, once: 0 for its further
  /// requests. The caller returns it to the policy's owner.
  virtual double takeReservation() = 0;
  /// Sends a complete answer.
  virtual void answer(unsigned Status, std::vector<http_field> Fields,
                      std::string_view Body) = 0;
  /// Sends a streamed answer. `end` completes it; `abortAnswer` closes the
  /// connection without the end, so that the caller can't take it as complete.
  /// `Length`: of its body, if known; none: it is sent in chunks.
  virtual void begin(unsigned Status, std::vector<http_field> Fields,
                     std::optional<std::uint64_t> Length = std::nullopt) = 0;
  virtual void write(std::string_view Bytes) = 0;
  virtual void end() = 0;
  virtual void abortAnswer() = 0;
  /// `Callback` is called once if the caller disconnects before the answer is
  /// complete.
  virtual void onDisconnect(std::function<void()> Callback) = 0;
  /// Bytes of answers that the caller hasn't taken yet.
  virtual std::size_t unsentBytes() const = 0;
  /// `Callback` is called whenever these have fallen to
  /// config::AnswerResumeBytes or less, until the answer is complete.
  virtual void onDrained(std::function<void()> Callback) = 0;
};

/// Limits on callers' requests.
struct server_limits {
  std::size_t MaxHeaderBytes = 16U << 10U;
  std::size_t MaxBodyBytes = 4U << 20U;
  std::chrono::milliseconds HeaderTimeout{3'000};
  std::chrono::milliseconds IdleTimeout{15'000};
  /// Without a byte of its answer taken by the caller.
  std::chrono::milliseconds StallTimeout{15'000};
  /// At more of them the one that was idle longest is closed; 0: no limit.
  std::size_t MaxConnections = 0;
};

/// The answer to a request whose body isn't read.
struct early_answer {
  unsigned Status = 0;
  std::vector<http_field> Fields;
  std::string Body;
};

/// What is known of a request before its body is read.
struct body_terms {
  std::string Customer;             ///< empty: unknown
  std::optional<duration> Deadline; ///< from the end of the head
};

/// Decides on callers' connections when the resources of a server are in use.
class connection_policy {
public:
  virtual ~connection_policy() = default;
  /// What to reserve for a new connection; none: it is closed unread.
  virtual std::optional<double> acceptConnection() = 0;
  /// Connections that had arrived were closed unread.
  virtual void leftUnread(std::size_t Connections) = 0;
  /// For how long no further connection will be accepted; zero: one may be.
  virtual duration acceptPause() = 0;
  /// A connection ended without having used its reservation.
  virtual void releaseReservation(double Reserved) = 0;
  /// Whether a connection is kept open after an answer.
  virtual bool keepsConnection() = 0;
  /// Called at the end of a head that a body follows. An answer: the body isn't
  /// read.
  virtual std::optional<early_answer> checkHead(const http_head &Head,
                                                body_terms &Terms) = 0;
  /// A request was refused, or its connection closed, for `Reason`.
  virtual void onDropped(std::string_view Reason) = 0;
};

/// HTTP/1.1 server on Boost.Beast's parser. Reads complete requests within
/// limits, one at a time on a connection, and detects a caller's disconnect
/// during its request.
class caller_server {
public:
  using handler = std::function<void(std::shared_ptr<caller_exchange>)>;

  /// Throws if the address can't be bound. Without a policy all connections are
  /// accepted and kept; what they hold is charged to `Memory`, if given.
  caller_server(boost::asio::io_context &Context, std::string_view Address,
                handler Handler, connection_policy *Policy = nullptr,
                memory_account_ptr Memory = nullptr);
  /// Closes all connections.
  ~caller_server();
  caller_server(const caller_server &) = delete;
  caller_server &operator=(const caller_server &) = delete;

  void setLimits(const server_limits &Value);
  /// Sends Connection: close with every further answer.
  void announceClose();
  /// Stops accepting connections and closes those without a request.
  void closeIdle();
  std::size_t connections() const;
  /// Number of connections whose request isn't answered yet.
  std::size_t answeringConnections() const;
  /// Number of connections with a request that is being read or processed.
  std::size_t busyConnections() const;

private:
  class connection;
  struct shared_state;
  void listen(boost::system::error_code &Error);
  void accept();
  void acceptLater();
  std::size_t closeArrived();
  void pauseListening(duration Time);
  void resumeListening();

  boost::asio::ip::tcp::endpoint Address;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer AcceptTimer;
  std::shared_ptr<shared_state> State;
  lifetime Life;
};

} // namespace clementinelane
