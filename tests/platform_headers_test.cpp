#define BOOST_TEST_MODULE platform_headers
#include "call_headers.h"
#include "platform_settings.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

route_rule route(call_kind Kind) {
  route_rule Route;
  Route.Kind = Kind;
  return Route;
}

http_head head(std::vector<http_field> Fields) {
  http_head Head;
  Head.Method = "POST";
  Head.Target = "/a/b?c=d";
  Head.Fields = std::move(Fields);
  return Head;
}

bool has(const std::string &Text, const std::string &Line) {
  return Text.find("\r\n" + Line + "\r\n") != std::string::npos;
}

const std::string Settings = R"(
node_name = "vm1"
zone = "hall-a"
ip_address = "10.1.0.40"
new_field = 1
internal_port_range = [7340,7355]
[listen_addresses]
frontend = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[limits]
cpu_quota = 0.25
cpu_cores = 2
[bounds]
revoke_timeout_ms = 5000
grace_period_s = 8
retry_budget_ratio = 0.9
retry_window_s = 10
retry_budget_extra = 58
session_ttl_s = 5
[platform]
address = "10.200.1.7:8223"
)";

} // namespace

BOOST_AUTO_TEST_CASE(call_facts_are_decoded) {
  const auto Metadata =
      decodeCallHead(head({{"X-Attempt-Id", "9c41"},
                           {"X-Key", "secret"},
                           {"Session", "s1"},
                           {"X-Model", "*"},
                           {"X-Prompt-Prefix-Hash", "5c1e:800,91bd:410"},
                           {"Last-Event-Id", "12"},
                           {"X-Deadline-Remaining-Ms", "1500"}}));
  BOOST_TEST(Metadata.Id == "9c41");
  BOOST_TEST(Metadata.Parts.size() == 2U);
  BOOST_TEST(Metadata.Parts[1].Tokens == 410U);
  BOOST_TEST(*Metadata.ResumeFrom == 12U);
  BOOST_TEST((*Metadata.Remaining == 1500ms));
  BOOST_TEST(
      decodeCallHead(head({{"X-Prompt-Prefix-Hash", "a,b"}})).Parts.empty());
}

// Guards against deadlines that overflow the clock or mean nothing.
BOOST_AUTO_TEST_CASE(deadlines_are_sound_numbers) {
  for (const char *Text : {"0", "1500", "0.5", "1e3", "31536000000"}) {
    const auto Metadata =
        decodeCallHead(head({{"X-Deadline-Remaining-Ms", Text}}));
    BOOST_TEST(!Metadata.IsDeadlineUnsound, Text);
    BOOST_TEST(Metadata.Remaining.has_value(), Text);
  }
  for (const char *Text :
       {"inf", "-inf", "nan", "-1", "1e400", "9223372036854775808",
        "31536000001", "12s", "", "1,2"}) {
    const auto Metadata =
        decodeCallHead(head({{"X-Deadline-Remaining-Ms", Text}}));
    BOOST_TEST(Metadata.IsDeadlineUnsound, Text);
    BOOST_TEST(!Metadata.Remaining.has_value(), Text);
  }
  const auto Without = decodeCallHead(head({}));
  BOOST_TEST(!Without.IsDeadlineUnsound);
  BOOST_TEST(!Without.Remaining.has_value());
}

// Guards against clients that set headers reserved for the router: neither
// those nor the client's key may reach the endpoint.
BOOST_AUTO_TEST_CASE(attempt_drops_router_headers_of_callers) {
  const route_rule Route = route(call_kind::Streaming);
  routed_call Call;
  Call.Head = head({{"Host", "h.example"},
                    {"X-Attempt-Id", "9c41"},
                    {"X-Key", "secret"},
                    {"x-tenant", "forged"},
                    {"X-Expected-Instance", "forged"},
                    {"X-Retention", "forged"},
                    {"X-Pin-Duration-Ms", "9"},
                    {"X-Kv-Backup", "forged"},
                    {"Kv-From", "forged"},
                    {"X-Request-Priority", "0"},
                    {"X-Deadline-Remaining-Ms", "9999"},
                    {"X-Model", "*"},
                    {"Connection", "keep-alive, X-Hop"},
                    {"X-Hop", "1"},
                    {"Transfer-Encoding", "chunked"},
                    {"X-Other", "kept"}});
  Call.Body = std::make_shared<const std::string>("body");
  Call.Route = &Route;
  Call.Customer.Name = "t1";
  attempt_spec Spec;
  Spec.Endpoint.Id = "i-7";
  Spec.Model = "large";
  Spec.Remaining = 1200ms;
  Spec.ResumeFrom = 5;
  Spec.Urgency = 3;
  const std::string Text = encodeAttemptRequest(Call, Spec);
  BOOST_TEST(Text.starts_with("POST /a/b?c=d HTTP/1.1\r\n"));
  // The body follows from where it is held.
  BOOST_TEST(Text.find("\r\n\r\n") == Text.size() - 4);
  for (const char *Line :
       {"Host: h.example", "X-Attempt-Id: 9c41", "X-Tenant: t1",
        "X-Expected-Instance: i-7", "X-Model: large",
        "X-Deadline-Remaining-Ms: 1200", "Last-Event-Id: 5",
        "X-Request-Priority: 3", "Content-Length: 4", "X-Other: kept"})
    BOOST_TEST(has(Text, Line), Line);
  for (const char *Word : {"forged", "secret", "X-Hop", "9999", "chunked"})
    BOOST_TEST(Text.find(Word) == std::string::npos, Word);
}

BOOST_AUTO_TEST_CASE(answer_facts_are_decoded) {
  http_head Head;
  Head.Status = 200;
  Head.Fields = {{"X-Instance-Signature", "3e1b"},
                 {"X-Confidence", "42.5"},
                 {"Connection", "close"},
                 {"Content-Length", "3"}};
  const auto Answer = decodeAnswerHead(Head);
  BOOST_TEST(Answer.HasSignature);
  BOOST_TEST(*Answer.Confidence == 42.5);
  BOOST_TEST(Answer.Fields.size() == 2U);
  Head.Status = 503;
  Head.Fields = {{"X-Not-Executed", "1"}};
  BOOST_TEST(decodeAnswerHead(Head).IsNotExecuted);
  Head.Fields = {};
  BOOST_TEST(!decodeAnswerHead(Head).IsNotExecuted);
  Head.Status = 421;
  BOOST_TEST(decodeAnswerHead(Head).IsMisdirected);
}

BOOST_AUTO_TEST_CASE(settings_are_read_and_unknown_keys_ignored) {
  const auto Parsed = parsePlatformSettings("node.toml", Settings);
  BOOST_TEST(Parsed.Errors.empty());
  BOOST_TEST(Parsed.Value.VmName == "vm1");
  BOOST_TEST((Parsed.Value.RevocationBound == 5s));
  BOOST_TEST((Parsed.Value.StopGrace == 8s));
  BOOST_TEST(Parsed.Value.RetryRatio == 0.9);
  BOOST_TEST(Parsed.Value.CallerAddress == "10.1.0.40:8227");
  BOOST_TEST(Parsed.Value.PeerAddress == "10.1.0.40:7340");
  BOOST_TEST(Parsed.Value.Cores == 0.5);
}

// Guards against guessing a region whose entry is malformed.
BOOST_AUTO_TEST_CASE(regions_of_data_centres_are_read) {
  const auto Parsed = parsePlatformSettings(
      "node.toml", Settings + "\n[zones]\nhall-a = \"north\"\n");
  BOOST_TEST(Parsed.Errors.empty());
  BOOST_TEST(Parsed.Value.Regions.at("hall-a") == "north");
  const auto Wrong =
      parsePlatformSettings("node.toml", Settings + "\n[zones]\nhall-a = 5\n");
  BOOST_REQUIRE(Wrong.Errors.size() == 1U);
  BOOST_TEST(
      formatError(Wrong.Errors[0]).ends_with("zones.hall-a: must be a text"));
}

BOOST_AUTO_TEST_CASE(settings_report_every_error_with_its_line) {
  const auto Parsed = parsePlatformSettings("node.toml", R"(node_name = 5
zone = "a"
[listen_addresses]
frontend = "nowhere"
[bounds]
retry_budget_ratio = -1
[platform]
address = "10.200.1.7:8223"
)");
  std::vector<std::string> Lines;
  for (const auto &Error : Parsed.Errors)
    Lines.push_back(formatError(Error));
  const std::vector<std::string> Wanted{
      "node.toml:1: node_name: must be a text",
      "node.toml: ip_address: is missing",
      "node.toml:4: listen_addresses.frontend: must be an IP number and a port",
      "node.toml: listen_addresses.ready: is missing",
      "node.toml: internal_port_range[0]: is missing",
      "node.toml:6: bounds.retry_budget_ratio: must be a number from 0 to 100"};
  BOOST_TEST(Lines == Wanted, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(any_header_value_is_decoded) {
  const bool IsOk = rc::check([](const std::string &Text) {
    decodeCallHead(head({{"X-Prompt-Prefix-Hash", Text},
                         {"Last-Event-Id", Text},
                         {"X-Deadline-Remaining-Ms", Text}}));
    http_head Answer;
    Answer.Fields = {{"X-Confidence", Text}};
    decodeAnswerHead(Answer);
  });
  BOOST_TEST(IsOk);
}

// Guards against a leave that another endpoint at the address announced.
BOOST_AUTO_TEST_CASE(leave_of_an_endpoint_is_decoded) {
  const auto IsLeaving = [](unsigned Status, const char *Text) {
    http_head Head;
    Head.Status = Status;
    Head.Fields = {{"server-leaving", Text}};
    return decodeAnswerHead(Head).IsLeaving;
  };
  for (const unsigned Status : {200U, 404U, 500U, 503U})
    BOOST_TEST(IsLeaving(Status, "1"));
  BOOST_TEST(!IsLeaving(421, "1"));
  for (const char *Text : {"", "0", "yes"})
    BOOST_TEST(!IsLeaving(200, Text));
}

// Guards against malformed times: only a decimal number of seconds counts, and
// only with a 503.
BOOST_AUTO_TEST_CASE(retry_after_of_an_endpoint_is_decoded) {
  const auto TimeOf = [](unsigned Status, const char *Text) {
    http_head Head;
    Head.Status = Status;
    Head.Fields = {{"Retry-After", Text}};
    return decodeAnswerHead(Head).RetryAfterSeconds;
  };
  BOOST_TEST(TimeOf(503, "3").value_or(-1) == 3.0);
  BOOST_TEST(TimeOf(503, "0.25").value_or(-1) == 0.25);
  BOOST_TEST(TimeOf(503, "0").value_or(-1) == 0.0);
  for (const char *Text :
       {"", "-1", "soon", "inf", "nan", "Fri, 04 Dec 2026 09:00:00 GMT"})
    BOOST_TEST(!TimeOf(503, Text));
  for (const unsigned Status : {200U, 421U, 429U, 500U})
    BOOST_TEST(!TimeOf(Status, "3"));
}

// Guards against malformed request limits: only a decimal number of 0 or more
// counts.
BOOST_AUTO_TEST_CASE(limits_of_endpoints_are_decoded) {
  const std::map<std::string, std::optional<double> endpoint_response::*>
      Limits{{"Server-Limit", &endpoint_response::RequestsPerSecond},
             {"Server-Brittle", &endpoint_response::RejectionsPerSecond}};
  for (const auto &[Name, Value] : Limits) {
    const auto LimitOf = [&Name = Name, &Value = Value](const char *Text) {
      http_head Head;
      Head.Status = 200;
      Head.Fields = {{Name, Text}};
      return decodeAnswerHead(Head).*Value;
    };
    BOOST_TEST(LimitOf("2.5").value_or(-1) == 2.5);
    BOOST_TEST(LimitOf("0").value_or(-1) == 0.0);
    for (const char *Text : {"", "-1", "many", "1 a second", "inf", "nan"})
      BOOST_TEST(!LimitOf(Text));
  }
}
