#pragma once

#include "capacity/memory_account.h"
#include "clementinelane/error.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace clementinelane {

/// Completes one call between processes of this project. Must be called exactly
/// once, from any thread, possibly after the handler has returned.
using link_reply = std::function<void(result<std::string>)>;

/// Handles a call of another process.
using link_handler = std::function<void(std::string_view Path, std::string Body,
                                        link_reply Reply)>;

/// Serves calls over HTTP/2 (nghttp2) on one address; each call is a stream.
class link_server {
public:
  /// Binds `Address` ("IP:port"); throws std::system_error on failure. What
  /// connections hold is charged to `Memory`, if given.
  link_server(std::string_view Address, link_handler Handler,
              memory_account_ptr Memory = nullptr);
  ~link_server();
  link_server(const link_server &) = delete;
  link_server &operator=(const link_server &) = delete;

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

/// Calls other processes over one connection per address, which is opened on
/// demand and closed when a call on it times out.
class link_client {
public:
  link_client();
  ~link_client();
  link_client(const link_client &) = delete;
  link_client &operator=(const link_client &) = delete;

  /// Calls `Done` exactly once, on the client's thread, with the reply, or with
  /// PeerUnavailable when `Timeout` has passed or the connection is lost.
  void call(std::string_view Address, std::string_view Path, std::string Body,
            std::chrono::milliseconds Timeout, link_reply Done);

  /// Like call(), but blocks until the reply. Must not be called on the
  /// client's own thread.
  result<std::string> callSync(std::string_view Address, std::string_view Path,
                               std::string Body,
                               std::chrono::milliseconds Timeout);

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

} // namespace clementinelane
