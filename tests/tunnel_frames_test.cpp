#define BOOST_TEST_MODULE tunnel_frames
#include "transport/tunnel_frames.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace clementinelane;

namespace {

std::string data(const std::string &Bytes) {
  return tunnelFrameHeader(tunnel_frame::Data, Bytes.size()) + Bytes;
}

} // namespace

// The frames arrive in pieces of any size.
BOOST_AUTO_TEST_CASE(frames_are_read_at_every_cut) {
  for (const tunnel_frame Kind : {tunnel_frame::End, tunnel_frame::Broken}) {
    const std::string Text =
        data("hello") + data(std::string(300, 'x')) + tunnelFrameHeader(Kind);
    for (std::size_t Cut = 0; Cut <= Text.size(); ++Cut) {
      tunnel_frame_reader Reader;
      std::string Data;
      BOOST_TEST(Reader.feed(Text.substr(0, Cut), Data));
      BOOST_TEST(Reader.end().has_value() == (Cut == Text.size()));
      BOOST_TEST(Reader.feed(Text.substr(Cut), Data));
      BOOST_TEST(Data == "hello" + std::string(300, 'x'));
      BOOST_CHECK(Reader.end() == Kind);
    }
  }
}

// A VM that isn't sound must not make an answer look whole.
BOOST_AUTO_TEST_CASE(malformed_frames_are_refused) {
  const std::string End = tunnelFrameHeader(tunnel_frame::End);
  for (const std::string &Text :
       {std::string(TunnelFrameHeaderBytes, '\0'), std::string("HTTP/1.1"),
        tunnelFrameHeader(tunnel_frame::Data, 0),
        tunnelFrameHeader(tunnel_frame::Data, MaxTunnelFrameBytes + 1),
        tunnelFrameHeader(tunnel_frame::End, 1),
        tunnelFrameHeader(static_cast<tunnel_frame>(4)), End + "x",
        End + End}) {
    tunnel_frame_reader Reader;
    std::string Data;
    BOOST_TEST(!Reader.feed(Text, Data));
  }
}

BOOST_AUTO_TEST_CASE(arbitrary_bytes_are_read_alike_in_pieces) {
  const bool IsOk = rc::check([](const std::string &Bytes) {
    const std::string Text = data("a") + Bytes;
    const std::size_t Cut = *rc::gen::inRange<std::size_t>(0, Text.size());
    tunnel_frame_reader Whole;
    tunnel_frame_reader Pieces;
    std::string WholeData;
    std::string PiecesData;
    const bool IsSound = Whole.feed(Text, WholeData);
    const bool AreSound = Pieces.feed(Text.substr(0, Cut), PiecesData) &&
                          Pieces.feed(Text.substr(Cut), PiecesData);
    RC_ASSERT(IsSound == AreSound);
    if (IsSound) {
      RC_ASSERT(WholeData == PiecesData);
      RC_ASSERT(Whole.end() == Pieces.end());
    }
  });
  BOOST_TEST(IsOk);
}
