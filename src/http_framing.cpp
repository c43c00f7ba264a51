#include "http_framing.h"

#include "config.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <limits>

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

template <bool IsRequest>
http_reader<IsRequest>::http_reader(std::size_t MaxHeaderBytes,
                                    std::optional<std::uint64_t> MaxBody) {
  base::header_limit(static_cast<std::uint32_t>(MaxHeaderBytes));
  // Boost 1.74 treats every length as above an absent limit.
  base::body_limit(MaxBody.value_or(std::numeric_limits<std::uint64_t>::max()));
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
    Consumed += Count;
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
                                              int Version, error_code &) {
  Head.Status = static_cast<unsigned>(Status);
  Head.Reason.assign(Reason.data(), Reason.size());
  Head.Version = static_cast<unsigned>(Version);
}

template <bool IsRequest>
void http_reader<IsRequest>::on_field_impl(boost::beast::http::field, text Name,
                                           text Value, error_code &) {
  Head.Fields.push_back({std::string(Name.data(), Name.size()),
                         std::string(Value.data(), Value.size())});
}

template <bool IsRequest>
void http_reader<IsRequest>::on_header_impl(error_code &) {}

template <bool IsRequest>
void http_reader<IsRequest>::on_body_init_impl(
    const boost::optional<std::uint64_t> &, error_code &) {}

template <bool IsRequest>
std::size_t http_reader<IsRequest>::on_body_impl(text Bytes, error_code &) {
  Body.append(Bytes.data(), Bytes.size());
  return Bytes.size();
}

template <bool IsRequest>
void http_reader<IsRequest>::on_chunk_header_impl(std::uint64_t, text,
                                                  error_code &) {}

template <bool IsRequest>
std::size_t http_reader<IsRequest>::on_chunk_body_impl(std::uint64_t,
                                                       text Bytes,
                                                       error_code &) {
  Body.append(Bytes.data(), Bytes.size());
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
