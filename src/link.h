#pragma once

#include "clementinelane/error.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace clementinelane {

/// Answers one call between our processes; may be called later and from any
/// thread, exactly once.
using link_reply = std::function<void(result<std::string>)>;

/// Takes the calls of other processes: path and body in, reply out.
using link_handler = std::function<void(std::string_view Path, std::string Body,
                                        link_reply Reply)>;

/// Serves calls over HTTP/2 (nghttp2) on one address; each call is a stream.
class link_server {
public:
  /// Binds `Address` ("IP:port"); throws std::system_error if it can't.
  link_server(std::string_view Address, link_handler Handler);
  ~link_server();
  link_server(const link_server &) = delete;
  link_server &operator=(const link_server &) = delete;

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

/// Calls other processes; one connection an address, opened on demand and
/// dropped whole when a call on it times out.
class link_client {
public:
  link_client();
  ~link_client();
  link_client(const link_client &) = delete;
  link_client &operator=(const link_client &) = delete;

  /// `Done` gets the reply, or PeerUnavailable when `Timeout` has passed or
  /// the connection is lost; exactly once, on the client's thread.
  void call(std::string_view Address, std::string_view Path, std::string Body,
            std::chrono::milliseconds Timeout, link_reply Done);

  /// Waits for the reply. Not for the client's own thread.
  result<std::string> callSync(std::string_view Address, std::string_view Path,
                               std::string Body,
                               std::chrono::milliseconds Timeout);

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

} // namespace clementinelane
