#pragma once

#include "endpoint_connector.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace clementinelane {

/// State of the links between a VM and a set of endpoints.
enum class link_state : std::uint8_t {
  Up,
  Refusing, ///< new connections are refused
  Silent    ///< new connections get no answer
};

/// Opens connections on loopback, and simulates a partition between its VM and
/// some addresses.
class partitioned_connector final : public endpoint_connector {
public:
  explicit partitioned_connector(boost::asio::io_context &Context)
      : Context(Context), Tcp(Context) {}

  /// Sets the state of the links to the addresses for which `Predicate` holds.
  void setLinks(link_state Value,
                std::function<bool(const std::string &Address)> Predicate) {
    State = Value;
    IsCut = std::move(Predicate);
  }

  /// Tunnels through `Peer` go through `Proxy` first.
  void setProxy(const std::string &Peer, const std::string &Proxy) {
    Proxies[Peer] = Proxy;
  }

  std::shared_ptr<connect_operation> connect(const endpoint_path &Path,
                                             duration Timeout,
                                             handler Handler) override {
    const bool IsDirect = Path.Peer.empty();
    if (State != link_state::Up && IsCut(IsDirect ? Path.Endpoint : Path.Peer))
      return fail(State == link_state::Refusing ? duration::zero() : Timeout,
                  IsDirect ? failureOf(State)
                           : connect_failure::PeerUnavailable,
                  std::move(Handler));
    endpoint_path Real = Path;
    if (const auto Found = Proxies.find(Path.Peer); Found != Proxies.end())
      Real.Peer = Found->second;
    return Tcp.connect(Real, Timeout, std::move(Handler));
  }

private:
  struct failing final : connect_operation {
    explicit failing(boost::asio::io_context &Context) : Timer(Context) {}
    void cancel() override { Timer.cancel(); }
    boost::asio::steady_timer Timer;
  };

  static connect_failure failureOf(link_state State) {
    return State == link_state::Refusing ? connect_failure::Refused
                                         : connect_failure::Unanswered;
  }

  std::shared_ptr<connect_operation>
  fail(duration After, connect_failure Failure, handler Handler) {
    auto Operation = std::make_shared<failing>(Context);
    Operation->Timer.expires_after(After);
    Operation->Timer.async_wait(
        [this, Operation, Handle = std::move(Handler),
         Failure](const boost::system::error_code &Error) {
          if (!Error)
            Handle(Failure, boost::asio::ip::tcp::socket(Context),
                   channel_kind::Direct);
        });
    return Operation;
  }

  boost::asio::io_context &Context;
  tcp_connector Tcp;
  link_state State = link_state::Up;
  std::function<bool(const std::string &)> IsCut;
  std::map<std::string, std::string> Proxies;
};

} // namespace clementinelane
