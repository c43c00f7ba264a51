#include "peer_datagrams.h"

#include "capacity/config.h"
#include "config.h"
#include "hashing.h"
#include "sockets.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <stdexcept>

namespace clementinelane {

namespace {

using udp = boost::asio::ip::udp;
using error_code = boost::system::error_code;

std::string encodeMessage(peer_message Kind, std::string_view Bytes) {
  std::string Message(1, static_cast<char>(Kind));
  Message += Bytes;
  return Message;
}

std::string addressText(const udp::endpoint &Peer) {
  return Peer.address().to_string() + ":" + std::to_string(Peer.port());
}

} // namespace

peer_datagrams::peer_datagrams(boost::asio::io_context &Context,
                               const runtime_clock &Clock,
                               std::string_view Address, handler Handler)
    : Clock(Clock), Socket(Context), OutboxTimer(Context),
      Handler(std::move(Handler)) {
  const auto Parsed = parseAddress(Address);
  if (!Parsed)
    throw std::invalid_argument("not an address: " + std::string(Address));
  Own = udp::endpoint(Parsed->address(), Parsed->port());
  Socket.open(Own.protocol());
  Socket.bind(Own);
  Socket.non_blocking(true);
  receive();
}

// Failure: the fleet is so large that a digest needs several rounds to reach
// all peers. With a shorter timeout each VM would see a different part of the
// fleet as live: VMs would disagree on which routers read the store, and query
// some that don't.
duration peer_datagrams::livenessTimeout() const {
  const auto Turns = static_cast<int>(
      (Peers.size() + config::MaxDigestPeers - 1) / config::MaxDigestPeers);
  return std::max<duration>(config::DigestTtl, config::DigestTtlRounds * Turns *
                                                   config::DigestInterval);
}

void peer_datagrams::addPeers(const std::vector<std::string> &Addresses) {
  const mono_time Now = Clock.bootNow();
  for (const std::string &Address : Addresses) {
    const auto Parsed = parseAddress(Address);
    if (!Parsed)
      continue;
    const udp::endpoint Peer(Parsed->address(), Parsed->port());
    if (Peer == Own)
      continue;
    const auto [Known, IsNew] =
        Peers.try_emplace(Peer, peer{Now, mono_time{}, 0});
    Known->second.IsListed = true;
    Generation += IsNew ? 1 : 0;
  }
}

void peer_datagrams::setPeerCores(const std::string &Address, double Cores) {
  const auto Parsed = parseAddress(Address);
  if (!Parsed)
    return;
  const auto Known =
      Peers.find(udp::endpoint(Parsed->address(), Parsed->port()));
  if (Known != Peers.end())
    Known->second.Cores = Cores;
}

void peer_datagrams::receive() {
  Socket.async_receive_from(
      boost::asio::buffer(Buffer), Sender,
      Life.guard([this](const error_code &Error, std::size_t Count) {
        if (Error == boost::asio::error::operation_aborted)
          return;
        if (!Error && Count > 0) {
          if (peer *Peer = learn(Sender)) {
            Peer->HeardAt = Clock.bootNow();
            Handler(static_cast<peer_message>(Buffer[0]), addressText(Sender),
                    std::string_view(Buffer.data() + 1, Count - 1));
          }
        }
        receive();
      }));
}

// Load: datagrams of ever new senders. Harm prevented: each is kept as a peer,
// and gets this VM's messages.
peer_datagrams::peer *peer_datagrams::learn(const udp::endpoint &Address) {
  if (const auto Known = Peers.find(Address); Known != Peers.end())
    return &Known->second;
  const auto Unlisted = static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(),
                    [](const auto &Entry) { return !Entry.second.IsListed; }));
  if (Unlisted >= config::MaxUnlistedPeers)
    return nullptr;
  ++Generation;
  return &Peers[Address];
}

void peer_datagrams::dropSilentPeers(mono_time Now) {
  Generation += std::erase_if(Peers, [Now](const auto &Entry) {
    return Now - Entry.second.HeardAt > config::PeerTtl;
  });
}

void peer_datagrams::sendBytes(const udp::endpoint &Peer,
                               const std::string &Message) {
  error_code Error; // only counted: the next datagram replaces a lost one
  Socket.send_to(boost::asio::buffer(Message), Peer, 0, Error);
  SendErrors += Error ? 1 : 0;
}

void peer_datagrams::send(peer_message Kind, std::string_view Bytes) {
  const mono_time Now = Clock.bootNow();
  dropSilentPeers(Now);
  const duration LivenessTimeout = livenessTimeout();
  std::vector<std::pair<const udp::endpoint, peer> *> Recipients;
  for (auto &Entry : Peers) {
    const bool IsQuiet = Now - Entry.second.HeardAt > LivenessTimeout;
    if (!IsQuiet || Now - Entry.second.SentAt > config::SilentPeerInterval)
      Recipients.push_back(&Entry);
  }
  const std::string Message = encodeMessage(Kind, Bytes);
  const std::size_t Count = std::min(Recipients.size(), config::MaxDigestPeers);
  for (std::size_t I = 0; I < Count; ++I) {
    auto &[Address, Peer] = *Recipients[(NextPeer + I) % Recipients.size()];
    Peer.SentAt = Now;
    sendBytes(Address, Message);
  }
  NextPeer += Count;
}

void peer_datagrams::broadcast(peer_message Kind, std::string_view Bytes) {
  const mono_time Now = Clock.bootNow();
  const duration LivenessTimeout = livenessTimeout();
  std::vector<udp::endpoint> Heard;
  for (const auto &[Address, Peer] : Peers)
    if (Now - Peer.HeardAt <= LivenessTimeout)
      Heard.push_back(Address);
  if (Heard.empty())
    return;
  enqueue(encodeMessage(Kind, Bytes), std::move(Heard));
}

void peer_datagrams::multicast(std::span<const std::string> Addresses,
                               peer_message Kind, std::string_view Bytes) {
  std::vector<udp::endpoint> Recipients;
  Recipients.reserve(Addresses.size());
  for (const std::string &Address : Addresses)
    if (const auto Parsed = parseAddress(Address))
      Recipients.emplace_back(Parsed->address(), Parsed->port());
  if (!Recipients.empty())
    enqueue(encodeMessage(Kind, Bytes), std::move(Recipients));
}

void peer_datagrams::enqueue(std::string Message,
                             std::vector<udp::endpoint> Recipients) {
  // The order varies so that drops within a portion don't always hit the same
  // peers.
  std::rotate(Recipients.begin(),
              Recipients.begin() +
                  static_cast<std::ptrdiff_t>(mixBits(BroadcastCount++) %
                                              Recipients.size()),
              Recipients.end());
  const bool IsWaiting = !Outbox.isEmpty();
  Outbox.add(std::move(Message), std::move(Recipients));
  if (!IsWaiting)
    sendPortion();
}

void peer_datagrams::sendPortion() {
  for (const auto &[To, Message] : Outbox.nextPortion(config::PeerBatchBytes))
    sendBytes(To, *Message);
  if (Outbox.isEmpty())
    return;
  OutboxTimer.expires_after(config::PeerBatchInterval);
  OutboxTimer.async_wait(Life.guard([this](const error_code &Error) {
    if (!Error)
      sendPortion();
  }));
}

void peer_datagrams::sendTo(const std::string &Address, peer_message Kind,
                            std::string_view Bytes) {
  if (const auto Parsed = parseAddress(Address))
    sendBytes(udp::endpoint(Parsed->address(), Parsed->port()),
              encodeMessage(Kind, Bytes));
}

bool peer_datagrams::isPeerAddress(std::string_view Ip) const {
  error_code Error;
  const auto Address = boost::asio::ip::make_address_v4(std::string(Ip), Error);
  return !Error &&
         std::any_of(Peers.begin(), Peers.end(), [&](const auto &Entry) {
           return Entry.first.address() == Address;
         });
}

std::vector<std::uint64_t> peer_datagrams::addressHashes() const {
  std::vector<std::uint64_t> Known;
  Known.reserve(Peers.size());
  for (const auto &[Address, Peer] : Peers)
    Known.push_back(stableHash(addressText(Address)));
  return Known;
}

std::vector<relay_peer> peer_datagrams::livePeers(mono_time Now) const {
  std::vector<relay_peer> Found;
  const duration LivenessTimeout = livenessTimeout();
  for (const auto &[Address, Peer] : Peers)
    if (Now - Peer.HeardAt <= LivenessTimeout)
      Found.push_back({addressText(Address), Peer.Cores});
  return Found;
}

} // namespace clementinelane
