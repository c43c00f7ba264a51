#include "http_framing.h"

#include "config.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <limits>
#include <span>
#include <utility>

namespace clementinelane {

namespace {

/// Hop-by-hop fields (RFC 9110, 7.6.1) and the framing, which each hop sets
/// itself.
constexpr std::array<std::string_view, 10> HopByHopFields{"Connection",
                                                          "Keep-Alive",
                                                          "Proxy-Connection",
                                                          "Proxy-Authenticate",
                                                          "Proxy-Authorization",
                                                          "TE",
                                                          "Trailer",
                                                          "Transfer-Encoding",
                                                          "Upgrade",
                                                          "Content-Length"};

char toLower(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
}

bool listContains(std::string_view List, std::string_view Name) {
  while (!List.empty()) {
    const std::size_t Comma = List.find(',');
    std::string_view Item = List.substr(0, Comma);
    while (!Item.empty() && (Item.front() == ' ' || Item.front() == '\t'))
      Item.remove_prefix(1);
    while (!Item.empty() && (Item.back() == ' ' || Item.back() == '\t'))
      Item.remove_suffix(1);
    if (equalsIgnoreCase(Item, Name))
      return true;
    if (Comma == std::string_view::npos)
      break;
    List.remove_prefix(Comma + 1);
  }
  return false;
}

constexpr unsigned Http10 = 10;
constexpr unsigned Http11 = 11;

enum class coding : std::uint8_t { Absent, Chunked, Other };
enum class length : std::uint8_t { Absent, Sound, Unsound };

struct framing_fields {
  coding Coding = coding::Absent;
  length Length = length::Absent;
  std::uint64_t Bytes = 0;
};

/// By coding, then by length. `None` stands for neither field, where requests
/// and responses differ.
constexpr std::array<std::array<framing_kind, 3>, 3> KindRows{{
    {framing_kind::None, framing_kind::Length, framing_kind::BadLength},
    {framing_kind::Chunked, framing_kind::AmbiguousLength,
     framing_kind::AmbiguousLength},
    {framing_kind::UnknownCoding, framing_kind::AmbiguousLength,
     framing_kind::AmbiguousLength},
}};

std::string_view trim(std::string_view Text) {
  constexpr std::string_view Blanks = " \t";
  const std::size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

std::optional<std::uint64_t> parseLength(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *const End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Error != std::errc() || Rest != End)
    return std::nullopt;
  return Value;
}

/// Equal values count as one, in a list or in several fields.
void addLength(framing_fields &Fields, std::string_view List) {
  for (bool HasMore = true; HasMore;) {
    const std::size_t Comma = List.find(',');
    HasMore = Comma != std::string_view::npos;
    const auto Value = parseLength(trim(List.substr(0, Comma)));
    if (HasMore)
      List.remove_prefix(Comma + 1);
    if (!Value || Fields.Length == length::Unsound ||
        (Fields.Length == length::Sound && *Value != Fields.Bytes)) {
      Fields.Length = length::Unsound;
      return;
    }
    Fields.Length = length::Sound;
    Fields.Bytes = *Value;
  }
}

/// Other codings than chunked aren't decoded, and forwarded bytes would be
/// taken for plain ones, so they are refused also where chunked follows.
void addCoding(framing_fields &Fields, std::string_view List) {
  const bool IsChunked = Fields.Coding == coding::Absent &&
                         equalsIgnoreCase(trim(List), "chunked");
  Fields.Coding = IsChunked ? coding::Chunked : coding::Other;
}

framing_fields framingFields(std::span<const http_field> Fields) {
  framing_fields Found;
  for (const http_field &Field : Fields) {
    if (equalsIgnoreCase(Field.Name, "Content-Length"))
      addLength(Found, Field.Value);
    else if (equalsIgnoreCase(Field.Name, "Transfer-Encoding"))
      addCoding(Found, Field.Value);
  }
  return Found;
}

/// `Neither`: the framing without both fields.
message_framing framingOf(const http_head &Head, framing_kind Neither) {
  if (Head.Version != Http10 && Head.Version != Http11)
    return {framing_kind::BadVersion};
  const framing_fields Fields = framingFields(Head.Fields);
  if (Head.Version == Http10 && Fields.Coding != coding::Absent)
    return {framing_kind::CodingInHttp10};
  const framing_kind Kind = KindRows[static_cast<std::size_t>(Fields.Coding)]
                                    [static_cast<std::size_t>(Fields.Length)];
  if (Kind == framing_kind::None)
    return {Neither};
  return {Kind, Kind == framing_kind::Length ? Fields.Bytes : 0};
}

// RFC 9110, 15. Nothing here asks to switch protocols, and what follows a 101
// isn't HTTP.
bool isUsableStatus(unsigned Status) {
  constexpr unsigned SwitchingProtocols = 101;
  return Status >= 100 && Status <= 599 && Status != SwitchingProtocols;
}

bool hasNoBody(unsigned Status) {
  return Status / 100 == 1 || Status == 204 || Status == 304;
}

void appendFields(std::string &Text, const http_head &Head) {
  for (const http_field &Field : Head.Fields) {
    Text += Field.Name;
    Text += ": ";
    Text += Field.Value;
    Text += "\r\n";
  }
  Text += "\r\n";
}

} // namespace

bool equalsIgnoreCase(std::string_view A, std::string_view B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(),
                    [](char X, char Y) { return toLower(X) == toLower(Y); });
}

std::string_view http_head::value(std::string_view Name) const {
  for (const http_field &Field : Fields)
    if (equalsIgnoreCase(Field.Name, Name))
      return Field.Value;
  return {};
}

bool http_head::has(std::string_view Name) const {
  return std::any_of(Fields.begin(), Fields.end(),
                     [Name](const http_field &Field) {
                       return equalsIgnoreCase(Field.Name, Name);
                     });
}

std::size_t heldBytes(const http_head &Head) {
  std::size_t Sum = Head.Target.capacity() + Head.Method.capacity() +
                    Head.Fields.capacity() * sizeof(http_field);
  for (const http_field &Field : Head.Fields)
    Sum += Field.Name.capacity() + Field.Value.capacity();
  return Sum;
}

std::vector<http_field> endToEndFields(const http_head &Head) {
  std::vector<http_field> Kept;
  Kept.reserve(Head.Fields.size());
  const auto IsHop = [&Head](std::string_view Name) {
    if (std::any_of(HopByHopFields.begin(), HopByHopFields.end(),
                    [Name](std::string_view Hop) {
                      return equalsIgnoreCase(Hop, Name);
                    }))
      return true;
    return std::any_of(Head.Fields.begin(), Head.Fields.end(),
                       [Name](const http_field &Field) {
                         return equalsIgnoreCase(Field.Name, "Connection") &&
                                listContains(Field.Value, Name);
                       });
  };
  for (const http_field &Field : Head.Fields)
    if (!IsHop(Field.Name))
      Kept.push_back(Field);
  return Kept;
}

message_framing requestFraming(const http_head &Head) {
  return framingOf(Head, framing_kind::None);
}

message_framing responseFraming(const http_head &Head, bool IsBodiless) {
  const message_framing Framing = framingOf(Head, framing_kind::UntilClose);
  if (!Framing.isError() && (IsBodiless || hasNoBody(Head.Status)))
    return {framing_kind::None};
  return Framing;
}

bool folded_lines::feed(std::string_view Bytes) {
  while (!IsHeadDone && !Bytes.empty()) {
    if (std::exchange(IsLineStart, false)) {
      if (Bytes.front() == ' ' || Bytes.front() == '\t')
        return true;
      IsHeadDone = Bytes.front() == '\r';
      continue;
    }
    const std::size_t End = Bytes.find('\n');
    if (End == std::string_view::npos)
      break;
    Bytes.remove_prefix(End + 1);
    IsLineStart = true;
  }
  return false;
}

template <bool IsRequest>
http_reader<IsRequest>::http_reader(std::size_t MaxHeaderBytes,
                                    std::optional<std::uint64_t> MaxBody)
    // Boost 1.74 treats every length as above an absent limit.
    : MaxBody(MaxBody.value_or(std::numeric_limits<std::uint64_t>::max())) {
  base::header_limit(static_cast<std::uint32_t>(MaxHeaderBytes));
  base::body_limit(this->MaxBody);
  base::eager(true);
}

template <bool IsRequest>
std::size_t http_reader<IsRequest>::feed(std::string_view Bytes,
                                         boost::system::error_code &Error) {
  std::size_t Consumed = 0;
  Error = {};
  while (Consumed < Bytes.size() && !base::is_done()) {
    const std::size_t Count =
        base::put(boost::asio::const_buffer(Bytes.data() + Consumed,
                                            Bytes.size() - Consumed),
                  Error);
    // Failure: the name of an endpoint's field begins with a blank. Beast joins
    // the line with the value before it, and a length in it is lost.
    const bool IsFolded =
        !IsRequest && Folds.feed(Bytes.substr(Consumed, Count));
    Consumed += Count;
    if (IsFolded) {
      Error = boost::beast::http::error::bad_field;
      break;
    }
    if (Error == boost::beast::http::error::need_more) {
      Error = {};
      break;
    }
    if (Error || Count == 0)
      break;
  }
  return Consumed;
}

template <bool IsRequest>
void http_reader<IsRequest>::on_request_impl(boost::beast::http::verb,
                                             text Method, text Target,
                                             int Version, error_code &) {
  Head.Method.assign(Method.data(), Method.size());
  Head.Target.assign(Target.data(), Target.size());
  Head.Version = static_cast<unsigned>(Version);
}

template <bool IsRequest>
void http_reader<IsRequest>::on_response_impl(int Status, text Reason,
                                              int Version, error_code &Error) {
  if (!isUsableStatus(static_cast<unsigned>(Status))) {
    Error = boost::beast::http::error::bad_status;
    return;
  }
  Head.Status = static_cast<unsigned>(Status);
  Head.Reason.assign(Reason.data(), Reason.size());
  Head.Version = static_cast<unsigned>(Version);
}

template <bool IsRequest>
void http_reader<IsRequest>::on_field_impl(boost::beast::http::field, text Name,
                                           text Value, error_code &) {
  // Failure: trailers that set fields of the head, such as a key, which whoever
  // checked the head hasn't seen.
  if (HasFields)
    return;
  Head.Fields.push_back({std::string(Name.data(), Name.size()),
                         std::string(Value.data(), Value.size())});
}

template <bool IsRequest>
void http_reader<IsRequest>::on_header_impl(error_code &Error) {
  HasFields = true;
  if constexpr (IsRequest)
    Framing = requestFraming(Head);
  else
    Framing = responseFraming(Head, IsBodiless);
  if (Framing.isError() || !isFramedAlike())
    Error = boost::beast::http::error::bad_transfer_encoding;
}

template <bool IsRequest> bool http_reader<IsRequest>::isFramedAlike() const {
  switch (Framing.Kind) {
  case framing_kind::Chunked:
    return base::chunked();
  case framing_kind::Length:
    return !base::chunked() && base::content_length() == Framing.Length;
  case framing_kind::UntilClose:
    return base::need_eof();
  default:
    return base::is_done();
  }
}

template <bool IsRequest>
void http_reader<IsRequest>::on_body_init_impl(
    const boost::optional<std::uint64_t> &, error_code &) {}

// Doubles up to a quarter of the body's limit and then allocates all of it, so
// that a whole body holds no more than its length.
template <bool IsRequest> void http_reader<IsRequest>::appendBody(text Bytes) {
  constexpr std::uint64_t LastGrowth = 4;
  const std::size_t Needed = Body.size() + Bytes.size();
  const std::uint64_t Limit =
      Framing.Kind == framing_kind::Length ? Framing.Length : MaxBody;
  if (Needed > Body.capacity() && Needed <= Limit &&
      Body.capacity() >= Limit / LastGrowth)
    Body.reserve(static_cast<std::size_t>(Limit));
  Body.append(Bytes.data(), Bytes.size());
}

template <bool IsRequest>
std::size_t http_reader<IsRequest>::on_body_impl(text Bytes, error_code &) {
  appendBody(Bytes);
  return Bytes.size();
}

template <bool IsRequest>
void http_reader<IsRequest>::on_chunk_header_impl(std::uint64_t, text,
                                                  error_code &) {}

template <bool IsRequest>
std::size_t http_reader<IsRequest>::on_chunk_body_impl(std::uint64_t,
                                                       text Bytes,
                                                       error_code &) {
  appendBody(Bytes);
  return Bytes.size();
}

template <bool IsRequest>
void http_reader<IsRequest>::on_finish_impl(error_code &) {}

template class http_reader<true>;
template class http_reader<false>;

void framing_limit::addBody(std::size_t Bytes) {
  Framing -= Bytes;
  Body += Bytes;
}

void framing_limit::addSkippedBody(std::size_t Bytes) {
  Framing -= Bytes;
  SkippedBody += Bytes;
}

bool framing_limit::isExceeded(std::size_t Unparsed) const {
  return Unparsed > config::MaxEndpointHeaderBytes ||
         SkippedBody > config::MaxAnswerBufferBytes ||
         Framing > config::MaxEndpointFramingBytes +
                       config::MaxFramingPerBodyByte * Body;
}

std::string requestHeadText(const http_head &Head) {
  std::string Text = Head.Method + " " + Head.Target + " HTTP/1.1\r\n";
  appendFields(Text, Head);
  return Text;
}

std::string responseHeadText(const http_head &Head) {
  std::string Text = "HTTP/1.1 " + std::to_string(Head.Status) + " ";
  Text += Head.Reason.empty() ? std::string(reasonPhrase(Head.Status))
                              : Head.Reason;
  Text += "\r\n";
  appendFields(Text, Head);
  return Text;
}

std::string formatChunk(std::string_view Bytes) {
  std::array<char, 16> Size{};
  const auto [End, Error] =
      std::to_chars(Size.data(), Size.data() + Size.size(), Bytes.size(), 16);
  std::string Text(Size.data(), End);
  Text += "\r\n";
  Text += Bytes;
  Text += "\r\n";
  return Text;
}

std::string_view reasonPhrase(unsigned Status) {
  const auto Reason = boost::beast::http::obsolete_reason(
      static_cast<boost::beast::http::status>(Status));
  return {Reason.data(), Reason.size()};
}

} // namespace clementinelane
