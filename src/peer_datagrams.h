#pragma once

#include "config.h"
#include "datagram_outbox.h"
#include "lifetime.h"
#include "read_relay.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// Type of a datagram's payload; its first byte.
enum class peer_message : char {
  Loads = 'L',
  SessionRuns = 'V',
  Report = 'R',
  Crashes = 'C',
  PartCrashes = 'P',
  Rejections = 'J',
  Pause = 'W',
  Query = 'Q',
  Reply = 'A',
  Announcement = 'N',
  Returns = 'T',
  ConfigurationQuery = 'K',
  ConfigurationReply = 'F'
};

/// Datagrams between the routers of a fleet. A router learns a peer's address
/// from its datagrams, so a new router needs the list of addresses only once.
class peer_datagrams final : public relay_peers {
public:
  using handler = std::function<void(
      peer_message Kind, const std::string &Sender, std::string_view Bytes)>;

  /// Throws if the address can't be bound.
  peer_datagrams(boost::asio::io_context &Context, const runtime_clock &Clock,
                 std::string_view Address, handler Handler);

  /// Adds the addresses of other routers, "IP:PORT"; this router's own address
  /// is ignored.
  void addPeers(const std::vector<std::string> &Addresses);
  /// Sends to live peers, and less often to silent ones; to at most
  /// config::MaxDigestPeers per call, in round-robin order.
  void send(peer_message Kind, std::string_view Bytes);
  void sendTo(const std::string &Address, peer_message Kind,
              std::string_view Bytes);
  /// Sends to all live peers, in portions that fit a link's buffer.
  void broadcast(peer_message Kind, std::string_view Bytes);
  /// Sends to these addresses, in the same portions.
  void multicast(std::span<const std::string> Addresses, peer_message Kind,
                 std::string_view Bytes);
  /// Datagrams that the socket rejected.
  std::uint64_t sendErrors() const { return SendErrors; }
  std::size_t peerCount() const { return Peers.size(); }
  /// Whether a known peer has this IP address.
  bool isPeerAddress(std::string_view Ip) const;
  /// Hashes of the addresses of all known peers, including silent ones.
  std::vector<std::uint64_t> addressHashes() const;
  /// Incremented when a peer is added or dropped.
  std::uint64_t generation() const { return Generation; }
  /// Time without a datagram after which a peer counts as silent.
  duration livenessTimeout() const;

  /// Sets the core count of a peer, as its digest reports it.
  void setPeerCores(const std::string &Address, double Cores);

  std::vector<relay_peer> livePeers(mono_time Now) const override;
  void sendQuery(const std::string &Address, std::string_view Bytes) override {
    sendTo(Address, peer_message::Query, Bytes);
  }
  void sendReply(const std::string &Address, std::string_view Bytes) override {
    sendTo(Address, peer_message::Reply, Bytes);
  }
  void sendAnnouncement(std::string_view Bytes) override {
    broadcast(peer_message::Announcement, Bytes);
  }

private:
  struct peer {
    mono_time HeardAt;
    mono_time SentAt;
    double Cores = 0;
    bool IsListed = false; ///< named by addPeers()
  };
  peer *learn(const boost::asio::ip::udp::endpoint &Address);
  void receive();
  void sendBytes(const boost::asio::ip::udp::endpoint &Peer,
                 const std::string &Message);
  void enqueue(std::string Message,
               std::vector<boost::asio::ip::udp::endpoint> Recipients);
  void sendPortion();
  void dropSilentPeers(mono_time Now);

  const runtime_clock &Clock;
  boost::asio::ip::udp::socket Socket;
  boost::asio::ip::udp::endpoint Own;
  boost::asio::ip::udp::endpoint Sender;
  std::array<char, config::MaxPeerMessageBytes> Buffer{};
  std::map<boost::asio::ip::udp::endpoint, peer> Peers;
  datagram_outbox<boost::asio::ip::udp::endpoint> Outbox;
  boost::asio::steady_timer OutboxTimer;
  std::uint64_t SendErrors = 0;
  std::uint64_t Generation = 0;
  std::size_t NextPeer = 0;       ///< where the next send() continues
  std::size_t BroadcastCount = 0; ///< varies the first recipient of broadcasts
  handler Handler;
  lifetime Life;
};

} // namespace clementinelane
