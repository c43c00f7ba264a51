#define BOOST_TEST_MODULE link_answer
#include "link.h"

#include <array>
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <nghttp2/nghttp2.h>
#include <thread>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

using tcp = boost::asio::ip::tcp;

/// A process on a free port that answers one call with the given status and
/// kind of error.
class scripted_process {
public:
  scripted_process(std::string Status, std::string Kind)
      : Status(std::move(Status)), Kind(std::move(Kind)),
        Thread([this] { serve(); }) {}
  ~scripted_process() { Thread.join(); }
  scripted_process(const scripted_process &) = delete;
  scripted_process &operator=(const scripted_process &) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

private:
  static nghttp2_nv field(std::string_view Name, std::string_view Value) {
    const auto Bytes = [](std::string_view Text) {
      return reinterpret_cast<std::uint8_t *>(const_cast<char *>(Text.data()));
    };
    return {Bytes(Name), Bytes(Value), Name.size(), Value.size(),
            NGHTTP2_NV_FLAG_NONE};
  }

  static int onFrame(nghttp2_session *Session, const nghttp2_frame *Frame,
                     void *Self) {
    if ((Frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0 ||
        Frame->hd.type == NGHTTP2_SETTINGS)
      return 0;
    const auto &This = *static_cast<scripted_process *>(Self);
    const std::array<nghttp2_nv, 2> Fields{field(":status", This.Status),
                                           field("error-kind", This.Kind)};
    return nghttp2_submit_response(Session, Frame->hd.stream_id, Fields.data(),
                                   Fields.size(), nullptr);
  }

  void serve() {
    tcp::socket Socket = Acceptor.accept();
    nghttp2_session_callbacks *Callbacks = nullptr;
    nghttp2_session_callbacks_new(&Callbacks);
    nghttp2_session_callbacks_set_on_frame_recv_callback(Callbacks, &onFrame);
    nghttp2_session *Session = nullptr;
    nghttp2_session_server_new(&Session, Callbacks, this);
    nghttp2_session_callbacks_del(Callbacks);
    nghttp2_submit_settings(Session, NGHTTP2_FLAG_NONE, nullptr, 0);
    std::array<std::uint8_t, 4096> Buffer{};
    boost::system::error_code Error;
    while (!Error) {
      const std::uint8_t *Bytes = nullptr;
      while (const auto Size = nghttp2_session_mem_send(Session, &Bytes))
        boost::asio::write(
            Socket, boost::asio::buffer(Bytes, static_cast<std::size_t>(Size)),
            Error);
      const std::size_t Count =
          Socket.read_some(boost::asio::buffer(Buffer), Error);
      if (nghttp2_session_mem_recv(Session, Buffer.data(), Count) < 0)
        break;
    }
    nghttp2_session_del(Session);
  }

  std::string Status;
  std::string Kind;
  boost::asio::io_context Context;
  tcp::acceptor Acceptor{
      Context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
  std::thread Thread;
};

std::error_code errorOf(const std::string &Status, const std::string &Kind) {
  const scripted_process Process(Status, Kind);
  link_client Client;
  const auto Reply = Client.callSync(Process.address(), "/a", "body", 4s);
  return Reply ? std::error_code() : Reply.error();
}

} // namespace

BOOST_AUTO_TEST_CASE(sound_answers_are_taken) {
  BOOST_TEST(!errorOf("200", "0"));
  BOOST_CHECK(
      errorOf("200", std::to_string(static_cast<int>(error_kind::QueueFull))) ==
      error_kind::QueueFull);
}

// Failure: another process answers with a status that ours don't send, and its
// answer is taken for one without an error.
BOOST_AUTO_TEST_CASE(other_statuses_are_no_answers) {
  for (const char *Status : {"000", "404", "500", "999"})
    BOOST_CHECK(errorOf(Status, "0") == error_kind::PeerIncompatible);
}

// Failure: the kind of an error is none of ours, and is looked up beyond the
// end of a table.
BOOST_AUTO_TEST_CASE(unknown_kinds_of_errors_are_no_answers) {
  for (const char *Kind : {"255", "9999", "-1", "99999999999", "", "x", "1x"})
    BOOST_CHECK(errorOf("200", Kind) == error_kind::PeerIncompatible);
}
