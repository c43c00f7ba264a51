#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace clementinelane {

/// Datagrams to many peers, in portions that a link takes, without I/O.
///
/// Load: one message to hundreds of peers. Harm prevented: a link holds some
/// 64 KB and drops the rest of a burst, so that the last peers never hear it.
template <typename Peer> class datagram_outbox {
public:
  struct datagram {
    Peer To;
    std::shared_ptr<const std::string> Bytes;
  };

  void add(std::string Message, std::vector<Peer> Peers) {
    if (Peers.empty())
      return;
    Waiting.push_back({std::make_shared<const std::string>(std::move(Message)),
                       std::move(Peers), 0});
  }

  /// The next ones, of `MostBytes` together or a single one that is larger.
  std::vector<datagram> take(std::size_t MostBytes) {
    std::vector<datagram> Portion;
    std::size_t Bytes = 0;
    while (!Waiting.empty()) {
      auto &[Message, Peers, Next] = Waiting.front();
      Bytes += Message->size();
      if (Bytes > MostBytes && !Portion.empty())
        break;
      Portion.push_back({Peers[Next], Message});
      if (++Next == Peers.size())
        Waiting.pop_front();
    }
    return Portion;
  }

  bool isEmpty() const { return Waiting.empty(); }

private:
  struct entry {
    std::shared_ptr<const std::string> Message;
    std::vector<Peer> Peers;
    std::size_t Next = 0; ///< peer that hasn't got it
  };
  std::deque<entry> Waiting;
};

} // namespace clementinelane
