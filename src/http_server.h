#pragma once

#include "answer.h"
#include "caller_server.h"
#include "capacity/config.h"
#include "capacity/memory_account.h"
#include "settings.h"

#include <boost/asio/executor_work_guard.hpp>
#include <condition_variable>
#include <cpprest/http_msg.h>
#include <cpprest/json.h>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace clementinelane {

/// One request with its complete body.
struct http_call {
  http_head Head;
  std::vector<std::string> Path; ///< decoded segments
  std::string Body;
  std::shared_ptr<answer_writer> Writer;

  std::string header(std::string_view Name) const;
  /// The target's part after the question mark.
  std::string_view queryText() const;
  std::string query(std::string_view Name) const;
  /// Answers with the status, headers and body of `Kind`.
  void fail(error_kind Kind) const;
  /// Answers with a JSON body.
  void json(const web::json::value &Body,
            std::uint32_t Status = web::http::status_codes::OK) const;
  void text(std::string Body, std::string ContentType = "text/plain") const;
};

using http_handler = std::function<void(const std::shared_ptr<http_call> &)>;

/// One row of a route table. The segment "*" matches any one
/// segment; a trailing "**" matches all that follow.
struct http_route {
  std::string Method; ///< "*" matches any
  std::vector<std::string> Path;
  http_handler Handler;
};

/// What a server may use of its process.
struct server_resources {
  memory_account_ptr Memory = std::make_shared<memory_account>(
      heldMemoryBound(config::DefaultMemoryLimitBytes));
  std::size_t MaxConnections = connectionsFor(config::DefaultDescriptors);

  /// Connections of a server in a process with so many descriptors.
  static std::size_t connectionsFor(std::size_t Descriptors) {
    return Descriptors * 3 / 8;
  }
  static server_resources of(const settings &Settings) {
    return {std::make_shared<memory_account>(heldMemoryBound(
                static_cast<std::size_t>(Settings.MemoryMegabytes) << 20U)),
            connectionsFor(static_cast<std::size_t>(Settings.FileDescriptors))};
  }
};

/// An HTTP server with a route table. Reads each body completely, within limits
/// of size, time and memory, on a thread of its own; handlers run on the
/// library's threads.
class http_server final : private connection_policy {
public:
  http_server(std::string_view Address, std::vector<http_route> Routes,
              server_resources Resources = {});
  ~http_server() override;
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /// Throws if the address can't be bound.
  void open();
  /// Stops listening, closes all connections, including those with a response
  /// in progress, and waits for the handlers.
  void close();
  /// Requests whose response has not been completely handed to the connection.
  std::size_t unanswered();
  /// Adds "Connection: close" to all later responses.
  void announceClose();

private:
  class writer;
  class task_count;

  std::optional<double> acceptConnection() override;
  void leftUnread(std::size_t) override {}
  duration acceptPause() override { return duration::zero(); }
  void releaseReservation(double) override {}
  bool keepsConnection() override { return true; }
  std::optional<early_answer> checkHead(const http_head &Head,
                                        body_terms &Terms) override;
  void onDropped(std::string_view Reason) override;

  void onRequest(std::shared_ptr<caller_exchange> Exchange);
  void route(const std::shared_ptr<http_call> &Call) const;
  /// Runs the function on the server's thread and waits for it.
  void runOnServer(const std::function<void()> &Function);

  std::string Address;
  std::vector<http_route> Routes;
  server_resources Resources;
  std::shared_ptr<task_count> Tasks;
  /// Shared with the writers, which may outlive this object.
  std::shared_ptr<boost::asio::io_context> Context =
      std::make_shared<boost::asio::io_context>(1);
  std::optional<
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
      Guard;
  std::unique_ptr<caller_server> Server;
  std::thread Thread;
};

} // namespace clementinelane
