#pragma once

#include "clock.h"
#include "config.h"
#include "endpoint_connector.h"
#include "http_framing.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace clementinelane {

/// A request of this process to another.
struct fetch_request {
  std::string Address; ///< "IP:PORT"
  std::string Method;
  std::string Target;
  std::vector<http_field> Fields{};
  std::string Body{};
  duration Timeout{}; ///< of the whole exchange
};

struct fetch_answer {
  http_head Head;
  std::string Body;
};

/// None: no whole answer came in time, or its body exceeds
/// config::MaxLinkMessageBytes.
using fetch_handler = std::function<void(std::optional<fetch_answer>)>;

/// The bytes of a request on a connection of its own.
std::string fetchText(const fetch_request &Request);

/// `Handler` is called once, on the thread of `Context`, never within this
/// call.
void startFetch(boost::asio::io_context &Context, endpoint_connector &Connector,
                const fetch_request &Request, fetch_handler Handler);

/// Blocks until the answer.
std::optional<fetch_answer> fetch(const fetch_request &Request);

/// Runs exchanges of a process on a thread of its own.
class http_client_thread {
public:
  http_client_thread();
  /// Ends the thread; no handler is called afterwards.
  ~http_client_thread() { stop(); }
  http_client_thread(const http_client_thread &) = delete;
  http_client_thread &operator=(const http_client_thread &) = delete;

  void stop();
  boost::asio::io_context &context() { return Context; }
  endpoint_connector &connector() { return Connector; }

private:
  boost::asio::io_context Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;
  tcp_connector Connector{Context};
  std::thread Thread;
};

} // namespace clementinelane
