#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

struct http_field {
  std::string Name;
  std::string Value;
};

bool equalsIgnoreCase(std::string_view A, std::string_view B);

/// Start line and header fields of a message, in the order received.
struct http_head {
  std::string Method;  ///< of a request
  std::string Target;  ///< of a request
  unsigned Status = 0; ///< of a response
  std::string Reason;  ///< of a response
  unsigned Version = 11;
  std::vector<http_field> Fields;

  /// The first value of `Name`; empty if absent.
  std::string_view value(std::string_view Name) const;
  bool has(std::string_view Name) const;
};

/// The end-to-end fields: without hop-by-hop fields, those listed in
/// Connection, and those of the body's framing.
std::vector<http_field> endToEndFields(const http_head &Head);

/// How the end of a message's body is found, or why it can't be.
enum class framing_kind : std::uint8_t {
  None,            ///< no body
  Length,          ///< as many bytes as Content-Length says
  Chunked,         ///< until the last chunk
  UntilClose,      ///< until the connection ends in order
  BadVersion,      ///< neither HTTP/1.0 nor HTTP/1.1
  BadLength,       ///< Content-Length is malformed, or has differing values
  UnknownCoding,   ///< Transfer-Encoding isn't "chunked" alone
  AmbiguousLength, ///< Content-Length beside Transfer-Encoding
  CodingInHttp10   ///< Transfer-Encoding in a message of HTTP/1.0
};

struct message_framing {
  framing_kind Kind = framing_kind::None;
  std::uint64_t Length = 0; ///< bytes, for framing_kind::Length

  bool isError() const { return Kind >= framing_kind::BadVersion; }
  friend bool operator==(const message_framing &,
                         const message_framing &) = default;
};

/// Decides the framing of a request from its head (RFC 9112, 6.3).
message_framing requestFraming(const http_head &Head);

/// Decides the framing of a response from its head. `IsBodiless`: it responds
/// to HEAD or opens a tunnel, and has no body whatever its fields say.
message_framing responseFraming(const http_head &Head, bool IsBodiless);

/// Bytes that a head holds in memory, allocations included.
std::size_t heldBytes(const http_head &Head);

/// Finds lines of a head that begin with a blank.
class folded_lines {
public:
  /// Takes the next bytes of a message; true: a line of its head is folded.
  bool feed(std::string_view Bytes);

private:
  bool IsLineStart = false;
  bool IsHeadDone = false;
};

/// Incremental reader of one message. Parsing is by Beast; a message is an
/// error unless requestFraming() or responseFraming() can frame it and Beast
/// frames it alike. Trailer fields are dropped. A response is also an error if
/// its status is undefined or a line of its head is folded.
template <bool IsRequest>
class http_reader : private boost::beast::http::basic_parser<IsRequest> {
  using base = boost::beast::http::basic_parser<IsRequest>;

public:
  http_reader(std::size_t MaxHeaderBytes, std::optional<std::uint64_t> MaxBody);

  /// Parses bytes from the front of `Bytes` and returns how many were consumed.
  /// An incomplete message is not an error.
  std::size_t feed(std::string_view Bytes, boost::system::error_code &Error);
  /// Call at the end of the connection; sets an error unless that ends the
  /// message.
  void finish(boost::system::error_code &Error) { base::put_eof(Error); }

  bool isHeadDone() const { return base::is_header_done(); }
  bool isDone() const { return base::is_done(); }
  bool hasStarted() const { return base::got_some(); }
  bool keepAlive() const { return base::keep_alive(); }
  /// For responses to HEAD, which have no body whatever their fields say.
  void skipBody() {
    IsBodiless = true;
    base::skip(true);
  }
  /// Of a message whose head is done.
  const message_framing &framing() const { return Framing; }
  const http_head &head() const { return Head; }
  http_head &head() { return Head; }
  /// The body's bytes since the last call.
  std::string takeBody() { return std::move(Body); }
  const std::string &body() const { return Body; }
  /// Bytes allocated for the body.
  std::size_t bodyCapacity() const { return Body.capacity(); }

private:
  using error_code = boost::beast::error_code;
  using text = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb Verb, text Method, text Target,
                       int Version, error_code &Error) override;
  void on_response_impl(int Status, text Reason, int Version,
                        error_code &Error) override;
  void on_field_impl(boost::beast::http::field Field, text Name, text Value,
                     error_code &Error) override;
  void on_header_impl(error_code &Error) override;
  void on_body_init_impl(const boost::optional<std::uint64_t> &Length,
                         error_code &Error) override;
  std::size_t on_body_impl(text Bytes, error_code &Error) override;
  void on_chunk_header_impl(std::uint64_t Size, text Extensions,
                            error_code &Error) override;
  std::size_t on_chunk_body_impl(std::uint64_t Remain, text Bytes,
                                 error_code &Error) override;
  void on_finish_impl(error_code &Error) override;

  bool isFramedAlike() const;
  void appendBody(text Bytes);

  std::uint64_t MaxBody;
  http_head Head;
  folded_lines Folds;
  message_framing Framing;
  bool IsBodiless = false;
  bool HasFields = false; ///< all fields of the head were read
  std::string Body;
};

using http_request_reader = http_reader<true>;
using http_response_reader = http_reader<false>;

extern template class http_reader<true>;
extern template class http_reader<false>;

/// Limits the bytes of a message that are no part of its body.
///
/// Load: an endpoint or a caller whose chunk header, trailer or series of
/// interim heads never ends. Harm prevented: its bytes are read until a
/// deadline, the caller gets no answer, and the endpoint keeps attracting
/// requests.
class framing_limit {
public:
  void addReceived(std::size_t Bytes) { Framing += Bytes; }
  /// Of the received bytes, `Bytes` belong to the answer's body.
  void addBody(std::size_t Bytes);
  /// Of the received bytes, `Bytes` belong to the body of a skipped response.
  void addSkippedBody(std::size_t Bytes);
  /// `Unparsed`: received bytes of an incomplete head, chunk header or trailer.
  bool isExceeded(std::size_t Unparsed) const;

private:
  std::uint64_t Framing = 0; ///< received bytes that are no body
  std::uint64_t Body = 0;
  std::uint64_t SkippedBody = 0;
};

/// The serialized head, with the blank line at its end.
std::string requestHeadText(const http_head &Head);
std::string responseHeadText(const http_head &Head);
/// One chunk of a chunked body.
std::string formatChunk(std::string_view Bytes);
constexpr std::string_view LastChunk = "0\r\n\r\n";
/// The standard reason phrase of a status.
std::string_view reasonPhrase(unsigned Status);

} // namespace clementinelane
