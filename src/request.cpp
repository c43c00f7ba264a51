#include "request.h"

#include "config.h"

#include <algorithm>
#include <array>
#include <boost/uuid/uuid_generators.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <charconv>
#include <cpprest/json.h>

namespace clementinelane {

namespace {

constexpr std::array<std::string_view, 3> PriorityNames{"counter", "normal",
                                                        "overnight"};
constexpr std::string_view Bearer = "Bearer ";
/// Average bytes per token of English or Dutch text; an estimate used only for
/// queueing.
constexpr std::uint64_t BytesPerToken = 4;
constexpr std::uint64_t DefaultMaxTokens = 512;
constexpr std::uint64_t MaxTokensLimit = 32768;

std::error_code readPriority(const header_lookup &Header, caller_request &Out) {
  const std::string Text = Header("X-Priority");
  if (Text.empty())
    return {};
  const auto *It = std::find(PriorityNames.begin(), PriorityNames.end(), Text);
  if (It == PriorityNames.end())
    return error_kind::BadHeader;
  Out.Priority = static_cast<priority>(It - PriorityNames.begin());
  return {};
}

std::error_code readDeadline(const header_lookup &Header, caller_request &Out) {
  Out.TimeLeft = config::DefaultDeadline;
  const std::string Text = Header("X-Deadline-Ms");
  if (Text.empty())
    return {};
  std::uint64_t Millis = 0;
  const auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Millis);
  const std::chrono::milliseconds Longest = config::MaxDeadline;
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size() ||
      Millis == 0 || Millis > static_cast<std::uint64_t>(Longest.count()))
    return error_kind::BadHeader;
  Out.TimeLeft = std::chrono::milliseconds(Millis);
  return {};
}

std::error_code readIdempotent(const header_lookup &Header,
                               caller_request &Out) {
  const std::string Text = Header("X-Idempotent");
  if (Text.empty() || Text == "true")
    return {};
  if (Text != "false")
    return error_kind::BadHeader;
  Out.NonIdempotent = true;
  return {};
}

std::error_code readKey(const header_lookup &Header, caller_request &Out) {
  const std::string Text = Header("Authorization");
  if (Text.empty())
    return error_kind::KeyMissing;
  if (Text.compare(0, Bearer.size(), Bearer) != 0 ||
      Text.size() == Bearer.size())
    return error_kind::KeyWrong;
  Out.Key = Text.substr(Bearer.size());
  return {};
}

std::error_code readTextHeaders(const header_lookup &Header,
                                caller_request &Out) {
  struct text_header {
    std::string_view Name;
    std::string caller_request::*Field;
  };
  static constexpr std::array<text_header, 4> Headers{{
      {"X-Session-Id", &caller_request::SessionId},
      {"X-Session-Token", &caller_request::SessionToken},
      {"Idempotency-Key", &caller_request::IdempotencyKey},
      {"traceparent", &caller_request::Traceparent},
  }};
  for (const auto &[Name, Field] : Headers) {
    Out.*Field = Header(Name);
    if ((Out.*Field).size() > config::MaxHeaderBytes)
      return error_kind::BadHeader;
  }
  return {};
}

std::error_code readHeaders(const header_lookup &Header, caller_request &Out) {
  using read_header =
      std::error_code (*)(const header_lookup &, caller_request &);
  static constexpr std::array<read_header, 5> Readers{
      &readKey, &readPriority, &readDeadline, &readIdempotent,
      &readTextHeaders};
  for (const read_header Read : Readers)
    if (const std::error_code Error = Read(Header, Out))
      return Error;
  Out.Id = makeRequestId();
  return {};
}

std::error_code readChatBody(caller_request &Out) {
  std::error_code ParseError;
  const auto Json = web::json::value::parse(Out.Body, ParseError);
  if (ParseError)
    return error_kind::BrokenJson;
  if (!Json.is_object() || !Json.has_string_field("model") ||
      !Json.has_array_field("messages"))
    return error_kind::BadRequest;
  Out.Model = Json.at("model").as_string();
  if (Json.has_field("stream")) {
    if (!Json.at("stream").is_boolean())
      return error_kind::BadRequest;
    Out.Streamed = Json.at("stream").as_bool();
  }
  Out.MaxTokens = DefaultMaxTokens;
  if (Json.has_field("max_tokens")) {
    const auto &Field = Json.at("max_tokens");
    if (!Field.is_integer() || !Field.as_number().is_uint64() ||
        Field.as_number().to_uint64() == 0 ||
        Field.as_number().to_uint64() > MaxTokensLimit)
      return error_kind::BadRequest;
    Out.MaxTokens = Field.as_number().to_uint64();
  }
  Out.PromptTokens = Out.Body.size() / BytesPerToken + 1;
  return {};
}

} // namespace

std::string_view nameOf(priority Priority) {
  return PriorityNames[static_cast<std::size_t>(Priority)];
}

std::string makeRequestId() {
  thread_local boost::uuids::random_generator Generator;
  return boost::uuids::to_string(Generator());
}

result<caller_request> parseChatRequest(const header_lookup &Header,
                                        std::string Body) {
  caller_request Request;
  Request.Body = std::move(Body);
  Request.ContentType = "application/json";
  if (const std::error_code Error = readHeaders(Header, Request))
    return Error;
  if (const std::error_code Error = readChatBody(Request))
    return Error;
  return Request;
}

result<caller_request> parseServiceRequest(const header_lookup &Header,
                                           std::string_view Service,
                                           std::string_view Path,
                                           std::string_view Method,
                                           std::string Body) {
  caller_request Request;
  Request.IsService = true;
  Request.Model = Service;
  Request.Path = Path;
  Request.Method = Method;
  Request.Body = std::move(Body);
  Request.ContentType = Header("Content-Type");
  if (const std::error_code Error = readHeaders(Header, Request))
    return Error;
  Request.PromptTokens = 1;
  return Request;
}

} // namespace clementinelane
