#define BOOST_TEST_MODULE message_framing
#include "http_framing.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <rapidcheck.h>

using namespace clementinelane;

namespace {

using kind = framing_kind;

struct framing_row {
  const char *Fields;
  message_framing Request;
  message_framing Response;
  unsigned Version = 11;
};

/// As in docs/design/framing.md.
const std::vector<framing_row> Rows{
    {"", {kind::None}, {kind::UntilClose}},
    {"Content-Length: 3\r\n", {kind::Length, 3}, {kind::Length, 3}},
    {"content-length:\t3 \r\n", {kind::Length, 3}, {kind::Length, 3}},
    {"Content-Length: 0\r\n", {kind::Length, 0}, {kind::Length, 0}},
    {"Content-Length: 3, 3\r\n", {kind::Length, 3}, {kind::Length, 3}},
    {"Content-Length: 3\r\nContent-Length: 3\r\n",
     {kind::Length, 3},
     {kind::Length, 3}},
    {"Content-Length: 3, 4\r\n", {kind::BadLength}, {kind::BadLength}},
    {"Content-Length: 3\r\nContent-Length: 4\r\n",
     {kind::BadLength},
     {kind::BadLength}},
    {"Content-Length: 3\r\nContent-Length: x\r\n",
     {kind::BadLength},
     {kind::BadLength}},
    {"Content-Length: -3\r\n", {kind::BadLength}, {kind::BadLength}},
    {"Content-Length: +3\r\n", {kind::BadLength}, {kind::BadLength}},
    {"Content-Length: 0x3\r\n", {kind::BadLength}, {kind::BadLength}},
    {"Content-Length: 3 3\r\n", {kind::BadLength}, {kind::BadLength}},
    {"Content-Length: 1\r\n 0\r\n", {kind::BadLength}, {kind::BadLength}},
    {"Content-Length: 3,\r\n", {kind::BadLength}, {kind::BadLength}},
    {"Content-Length: \r\n", {kind::BadLength}, {kind::BadLength}},
    {"Content-Length: \"3\"\r\n", {kind::BadLength}, {kind::BadLength}},
    {"Content-Length: 18446744073709551616\r\n",
     {kind::BadLength},
     {kind::BadLength}},
    {"Transfer-Encoding: chunked\r\n", {kind::Chunked}, {kind::Chunked}},
    {"transfer-encoding: CHUNKED\r\n", {kind::Chunked}, {kind::Chunked}},
    {"Transfer-Encoding:\r\n chunked\r\n", {kind::Chunked}, {kind::Chunked}},
    {"Transfer-Encoding: gzip\r\n",
     {kind::UnknownCoding},
     {kind::UnknownCoding}},
    {"Transfer-Encoding: identity\r\n",
     {kind::UnknownCoding},
     {kind::UnknownCoding}},
    {"Transfer-Encoding: gzip, chunked\r\n",
     {kind::UnknownCoding},
     {kind::UnknownCoding}},
    {"Transfer-Encoding: chunked, identity\r\n",
     {kind::UnknownCoding},
     {kind::UnknownCoding}},
    {"Transfer-Encoding: chunked, chunked\r\n",
     {kind::UnknownCoding},
     {kind::UnknownCoding}},
    {"Transfer-Encoding: chunked,\r\n gzip\r\n",
     {kind::UnknownCoding},
     {kind::UnknownCoding}},
    {"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
     {kind::UnknownCoding},
     {kind::UnknownCoding}},
    {"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
     {kind::UnknownCoding},
     {kind::UnknownCoding}},
    {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
     {kind::UnknownCoding},
     {kind::UnknownCoding}},
    {"Transfer-Encoding: \"chunked\"\r\n",
     {kind::UnknownCoding},
     {kind::UnknownCoding}},
    {"Transfer-Encoding: chunked;q=1\r\n",
     {kind::UnknownCoding},
     {kind::UnknownCoding}},
    {"Transfer-Encoding: xchunked\r\n",
     {kind::UnknownCoding},
     {kind::UnknownCoding}},
    {"Transfer-Encoding: \r\n", {kind::UnknownCoding}, {kind::UnknownCoding}},
    {"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
     {kind::AmbiguousLength},
     {kind::AmbiguousLength}},
    {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
     {kind::AmbiguousLength},
     {kind::AmbiguousLength}},
    {"Content-Length: 3\r\nTransfer-Encoding: gzip\r\n",
     {kind::AmbiguousLength},
     {kind::AmbiguousLength}},
    {"Transfer-Encoding: gzip\r\nContent-Length: x\r\n",
     {kind::AmbiguousLength},
     {kind::AmbiguousLength}},
    {"", {kind::None}, {kind::UntilClose}, 10},
    {"Content-Length: 3\r\n", {kind::Length, 3}, {kind::Length, 3}, 10},
    {"Transfer-Encoding: chunked\r\n",
     {kind::CodingInHttp10},
     {kind::CodingInHttp10},
     10},
    {"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
     {kind::CodingInHttp10},
     {kind::CodingInHttp10},
     10},
    {"Content-Length: 3\r\n", {kind::BadVersion}, {kind::BadVersion}, 12},
    {"Content-Length: 3\r\n", {kind::BadVersion}, {kind::BadVersion}, 20},
    {"", {kind::BadVersion}, {kind::BadVersion}, 9},
};

std::string versionText(unsigned Version) {
  return "HTTP/" + std::to_string(Version / 10) + "." +
         std::to_string(Version % 10);
}

/// The fields with folded lines joined, as the reader hands them over.
http_head headOf(const framing_row &Row) {
  http_head Head;
  Head.Version = Row.Version;
  std::string Text = Row.Fields;
  for (std::size_t At; (At = Text.find("\r\n ")) != std::string::npos;)
    Text.erase(At, 2);
  while (!Text.empty()) {
    const std::size_t Colon = Text.find(':');
    const std::size_t End = Text.find("\r\n");
    Head.Fields.push_back(
        {Text.substr(0, Colon), Text.substr(Colon + 1, End - Colon - 1)});
    Text.erase(0, End + 2);
  }
  return Head;
}

/// Bytes of the message's body, and whether it is whole; none if it's refused.
struct read_message {
  std::string Body;
  bool IsWhole = false;
  std::size_t Rest = 0; ///< bytes that belong to no part of it
  friend bool operator==(const read_message &, const read_message &) = default;
};

/// Feeds `Text` in two pieces, then closes the connection if `IsClosed`.
template <bool IsRequest>
std::optional<read_message> readMessage(const std::string &Text,
                                        std::size_t Cut, bool IsClosed) {
  http_reader<IsRequest> Reader(1024, 1024);
  boost::system::error_code Error;
  std::string Pending = Text.substr(0, Cut);
  Pending.erase(0, Reader.feed(Pending, Error));
  if (!Error) {
    Pending += Text.substr(Cut);
    Pending.erase(0, Reader.feed(Pending, Error));
  }
  if (!Error && !Reader.isDone() && Reader.hasStarted() && IsClosed)
    Reader.finish(Error);
  if (Error)
    return std::nullopt;
  return read_message{Reader.takeBody(), Reader.isDone(), Pending.size()};
}

/// What a framing takes from the bytes "3\r\nabc\r\n0\r\n\r\n".
constexpr std::string_view ChunkedBytes = "3\r\nabc\r\n0\r\n\r\n";
std::optional<read_message> expected(const message_framing &Framing) {
  if (Framing.isError())
    return std::nullopt;
  switch (Framing.Kind) {
  case kind::Length:
    return read_message{std::string(ChunkedBytes.substr(0, Framing.Length)),
                        true, ChunkedBytes.size() - Framing.Length};
  case kind::Chunked:
    return read_message{"abc", true, 0};
  case kind::UntilClose:
    return read_message{std::string(ChunkedBytes), true, 0};
  default:
    return read_message{"", true, ChunkedBytes.size()};
  }
}

std::string requestText(const framing_row &Row) {
  return "POST /a " + versionText(Row.Version) + "\r\n" + Row.Fields + "\r\n" +
         std::string(ChunkedBytes);
}

bool isFolded(const framing_row &Row) {
  return std::string_view(Row.Fields).find("\r\n ") != std::string_view::npos;
}

/// What is read of a response, whose lines must not be folded.
std::optional<read_message> expectedResponse(const framing_row &Row,
                                             const message_framing &Framing) {
  return isFolded(Row) ? std::nullopt : expected(Framing);
}

std::string responseText(const framing_row &Row, unsigned Status) {
  return versionText(Row.Version) + " " + std::to_string(Status) + " X\r\n" +
         Row.Fields + "\r\n" + std::string(ChunkedBytes);
}

} // namespace

BOOST_AUTO_TEST_CASE(every_combination_has_its_framing) {
  for (const framing_row &Row : Rows) {
    BOOST_TEST_INFO(Row.Fields << " in " << Row.Version);
    const http_head Head = headOf(Row);
    BOOST_CHECK(requestFraming(Head) == Row.Request);
    http_head Response = Head;
    Response.Status = 200;
    BOOST_CHECK(responseFraming(Response, false) == Row.Response);
  }
}

// Interim responses, 204, 304 and responses to HEAD have no body, but
// contradictory fields are an error there too.
BOOST_AUTO_TEST_CASE(responses_without_body_by_status_or_method) {
  for (const framing_row &Row : Rows) {
    http_head Head = headOf(Row);
    const message_framing Wanted =
        Row.Response.isError() ? Row.Response : message_framing{};
    for (const unsigned Status : {100U, 103U, 204U, 304U}) {
      Head.Status = Status;
      BOOST_CHECK(responseFraming(Head, false) == Wanted);
    }
    Head.Status = 200;
    BOOST_CHECK(responseFraming(Head, true) == Wanted);
  }
}

// The parser takes a message's end from its fields by rules of its own: it must
// read what the table says, wherever the bytes are cut.
BOOST_AUTO_TEST_CASE(reader_frames_as_the_table_at_every_cut) {
  for (const framing_row &Row : Rows) {
    const std::string Request = requestText(Row);
    for (std::size_t Cut = 0; Cut <= Request.size(); ++Cut) {
      BOOST_TEST_INFO(Request << " cut at " << Cut);
      BOOST_CHECK(readMessage<true>(Request, Cut, true) ==
                  expected(Row.Request));
    }
    for (const unsigned Status : {200U, 404U, 204U, 304U}) {
      http_head Head = headOf(Row);
      Head.Status = Status;
      const std::string Response = responseText(Row, Status);
      for (std::size_t Cut = 0; Cut <= Response.size(); ++Cut) {
        BOOST_TEST_INFO(Response << " cut at " << Cut);
        BOOST_CHECK(readMessage<false>(Response, Cut, true) ==
                    expectedResponse(Row, responseFraming(Head, false)));
      }
    }
  }
}

// Combinations of fields that nobody listed.
BOOST_AUTO_TEST_CASE(reader_frames_as_the_table_for_drawn_fields) {
  const bool IsOk = rc::check([] {
    static const std::vector<std::string> Names{
        "Content-Length", "Transfer-Encoding", "content-length",
        "TRANSFER-ENCODING", "X-Other"};
    static const std::vector<std::string> Values{"0",
                                                 "3",
                                                 "4",
                                                 "03",
                                                 "3,3",
                                                 "3, 4",
                                                 "-1",
                                                 "+3",
                                                 "3 ",
                                                 "chunked",
                                                 "Chunked",
                                                 "gzip",
                                                 "chunked, ",
                                                 ", chunked",
                                                 "gzip, chunked",
                                                 "",
                                                 "\"chunked\"",
                                                 "\tchunked",
                                                 "chunked chunked"};
    framing_row Row{"", {}, {}, *rc::gen::element(10U, 11U, 12U, 20U)};
    std::string Fields;
    const unsigned Count = *rc::gen::inRange(0U, 4U);
    for (unsigned Each = 0; Each < Count; ++Each)
      Fields += *rc::gen::elementOf(Names) + ": " +
                *rc::gen::elementOf(Values) + "\r\n";
    Row.Fields = Fields.c_str();
    const http_head Head = headOf(Row);
    const std::string Request = requestText(Row);
    const std::size_t Cut = *rc::gen::inRange<std::size_t>(0, Request.size());
    RC_ASSERT(readMessage<true>(Request, Cut, true) ==
              expected(requestFraming(Head)));
    http_head Answered = Head;
    Answered.Status = *rc::gen::element(200U, 204U, 304U, 404U, 500U);
    const std::string Response = responseText(Row, Answered.Status);
    RC_ASSERT(
        readMessage<false>(Response, std::min(Cut, Response.size()), true) ==
        expected(responseFraming(Answered, false)));
  });
  BOOST_TEST(IsOk);
}

// A connection breaks amid a message, which must not be taken for whole.
BOOST_AUTO_TEST_CASE(message_without_its_end_is_never_whole) {
  for (const framing_row &Row : Rows) {
    if (Row.Response.Kind != kind::Length && Row.Response.Kind != kind::Chunked)
      continue;
    const std::string Head = responseText(Row, 200);
    const std::size_t Body = Row.Response.Kind == kind::Chunked
                                 ? ChunkedBytes.size()
                                 : Row.Response.Length;
    const std::size_t Whole = Head.size() - ChunkedBytes.size() + Body;
    for (std::size_t End = 1; End < Whole; ++End) {
      BOOST_TEST_INFO(Head << " ends at " << End);
      const auto Read = readMessage<false>(Head.substr(0, End), End / 2, true);
      BOOST_CHECK(!Read);
    }
  }
}

// Trailers repeat fields that were checked in the head, as the customer's key.
BOOST_AUTO_TEST_CASE(trailers_are_no_fields_of_the_head) {
  http_request_reader Reader(1024, 1024);
  boost::system::error_code Error;
  const std::string Text = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                           "\r\n1\r\na\r\n0\r\nX-Key: other\r\n\r\n";
  BOOST_TEST(Reader.feed(Text, Error) == Text.size());
  BOOST_TEST(Reader.isDone());
  BOOST_TEST(!Reader.head().has("X-Key"));
}
