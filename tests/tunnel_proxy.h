#pragma once

#include "loopback.h"

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// How tunnels end for the VM that opened them.
enum class tunnel_fault : std::uint8_t {
  Killed, ///< the other VM's system closes its connections in order
  Reset,
  Silent ///< the connection stays, and nothing more arrives
};

/// Relays the tunnels to one VM, and breaks those that are open.
class tunnel_proxy {
public:
  tunnel_proxy(boost::asio::io_context &Context, std::uint16_t Target)
      : Context(Context), Target(loopback(Target)),
        Acceptor(Context, loopback(0)) {
    accept();
  }
  ~tunnel_proxy() { apply(tunnel_fault::Killed); }
  tunnel_proxy(const tunnel_proxy &) = delete;
  tunnel_proxy &operator=(const tunnel_proxy &) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }
  /// Lets both VMs take each other for one of a release without frames.
  void hideFrames() { HidesFrames = true; }
  /// Breaks the open tunnels; later ones work.
  void apply(tunnel_fault Fault) {
    for (const auto &Weak : std::exchange(Relays, {}))
      if (const auto Relay = Weak.lock())
        Relay->apply(Fault);
  }
  bool hasOpenTunnel() const {
    return std::any_of(Relays.begin(), Relays.end(), [](const auto &Weak) {
      const auto Relay = Weak.lock();
      return Relay && Relay->IsAnswered;
    });
  }

private:
  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;

  struct relay : std::enable_shared_from_this<relay> {
    explicit relay(tcp::socket Opener)
        : Opener(std::move(Opener)), Holder(this->Opener.get_executor()) {}

    void start(const tcp::endpoint &Target, bool HidesFrames) {
      Holder.async_connect(
          Target, [Self = shared_from_this(), HidesFrames](error_code Error) {
            if (Error)
              return Self->close();
            Self->pass(Self->Opener, Self->Holder, Self->Upwards, HidesFrames);
            Self->pass(Self->Holder, Self->Opener, Self->Downwards, false);
          });
    }
    void apply(tunnel_fault Fault) {
      IsSilent = Fault == tunnel_fault::Silent;
      if (IsSilent)
        return;
      if (Fault == tunnel_fault::Reset)
        Opener.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
      close();
    }
    void close() {
      Opener.close(Ignored);
      Holder.close(Ignored);
    }
    void pass(tcp::socket &From, tcp::socket &To, std::array<char, 8192> &Bytes,
              bool HidesFrames) {
      From.async_read_some(
          boost::asio::buffer(Bytes),
          [this, Self = shared_from_this(), &From, &To, &Bytes,
           HidesFrames](error_code Error, std::size_t Count) {
            if (IsSilent)
              return;
            if (Error == boost::asio::error::eof) {
              To.shutdown(tcp::socket::shutdown_send, Ignored);
              return;
            }
            if (Error)
              return close();
            IsAnswered = IsAnswered || &From == &Holder;
            auto Text = std::make_shared<std::string>(Bytes.data(), Count);
            if (HidesFrames)
              renameFields(*Text);
            boost::asio::async_write(To, boost::asio::buffer(*Text),
                                     [this, Self, Text, &From, &To, &Bytes](
                                         error_code WriteError, std::size_t) {
                                       if (WriteError)
                                         return close();
                                       pass(From, To, Bytes, false);
                                     });
          });
    }
    /// Nobody knows the fields of a tunnel any more. A CONNECT is short enough
    /// for one packet.
    static void renameFields(std::string &Text) {
      constexpr std::string_view Name = "\r\nTunnel-";
      for (auto At = Text.find(Name); At != std::string::npos;
           At = Text.find(Name))
        Text.replace(At, Name.size(), "\r\nUnknown-");
    }

    tcp::socket Opener;
    tcp::socket Holder;
    std::array<char, 8192> Upwards{};
    std::array<char, 8192> Downwards{};
    error_code Ignored; // either side may have closed
    bool IsSilent = false;
    bool IsAnswered = false;
  };

  static tcp::endpoint loopback(std::uint16_t Port) {
    return {boost::asio::ip::make_address("127.0.0.1"), Port};
  }
  void accept() {
    Acceptor.async_accept([this](error_code Error, tcp::socket Socket) {
      if (Error)
        return;
      auto Relay = std::make_shared<relay>(std::move(Socket));
      Relays.push_back(Relay);
      Relay->start(Target, HidesFrames);
      accept();
    });
  }

  boost::asio::io_context &Context;
  tcp::endpoint Target;
  tcp::acceptor Acceptor;
  bool HidesFrames = false;
  std::vector<std::weak_ptr<relay>> Relays;
};

} // namespace clementinelane
