#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace clementinelane {

/// Send queue that splits datagrams to many peers into portions that fit a
/// link's buffer; does no I/O.
///
/// Load: one message to hundreds of peers. Harm prevented: a link buffers about
/// 64 KB and drops the rest of a burst, so the last peers never receive it.
template <typename Peer> class datagram_outbox {
public:
  struct datagram {
    Peer To;
    std::shared_ptr<const std::string> Bytes;
  };

  void add(std::string Message, std::vector<Peer> Peers) {
    if (Peers.empty())
      return;
    Queue.push_back({std::make_shared<const std::string>(std::move(Message)),
                     std::move(Peers), 0});
  }

  /// Returns the next datagrams, up to `MaxBytes` in total, or a single larger
  /// one.
  std::vector<datagram> nextPortion(std::size_t MaxBytes) {
    std::vector<datagram> Portion;
    std::size_t Bytes = 0;
    while (!Queue.empty()) {
      auto &[Message, Peers, NextPeer] = Queue.front();
      Bytes += Message->size();
      if (Bytes > MaxBytes && !Portion.empty())
        break;
      Portion.push_back({Peers[NextPeer], Message});
      if (++NextPeer == Peers.size())
        Queue.pop_front();
    }
    return Portion;
  }

  bool isEmpty() const { return Queue.empty(); }

private:
  struct entry {
    std::shared_ptr<const std::string> Message;
    std::vector<Peer> Peers;
    std::size_t NextPeer = 0; ///< the next recipient
  };
  std::deque<entry> Queue;
};

} // namespace clementinelane
