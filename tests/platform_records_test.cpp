#define BOOST_TEST_MODULE platform_records
#include "records.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <sys/resource.h>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

const std::string Routes = R"({"version":7,"routes":[
 {"name":"r1","host":"h.example","path_prefix":"/a/","kind":"streaming",
  "timeout_ms":12000,"target_latency_ms":3000,"priority":1,
  "sizes":["s","m","l"],"max_attempts":3,"public":false,"sticky":true,
  "resumable":true,"target_gap_ms":1000,
  "traffic_split":[{"service":"x","weight":90},{"service":"y","weight":10}]},
 {"name":"r2","host":"h.example","path_prefix":"/a/b/","kind":"idempotent",
  "service":"y","max_attempts":2}],
 "services":[{"name":"x","max_connections":370,"inference_engine":
  {"slots":64,"kv_capacity_tokens":628077,"models":[{"name":"s","cost":0.1}]}},
  {"name":"y","max_connections":110}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1},
  {"name":"t2","api_keys":["k3"]}]})";

const std::string Entry =
    R"({"service":"x","address":"10.0.0.9:8080","zone":"hall-a","version":"v1",)"
    R"("slots":64,"state":"ready","cold_remaining_ms":0,"sequence":4})";

/// The most memory that this process ever held.
std::size_t peakResidentBytes() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  return static_cast<std::size_t>(Usage.ru_maxrss) * 1024;
}

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  return Text.replace(Text.find(From), From.size(), To);
}

} // namespace

BOOST_AUTO_TEST_CASE(configuration_is_decoded_whole) {
  const auto [Table, Problem] = decodeRoutes(Routes);
  BOOST_REQUIRE(Table);
  BOOST_TEST(Table->Version == 7U);
  const route_rule *Route = Table->find("h.example:80", "/a/x/");
  BOOST_REQUIRE(Route);
  BOOST_TEST(Route->Name == "r1");
  BOOST_TEST((Route->Kind == call_kind::Streaming));
  BOOST_TEST(Route->isRetryable());
  BOOST_TEST(Route->Models.size() == 3U);
  BOOST_TEST(Route->Services.size() == 2U);
  BOOST_TEST((Route->Timeout == 12s));
  BOOST_TEST(Table->find("h.example", "/a/b/c")->Name == "r2");
  BOOST_TEST(!Table->find("other.example", "/a/"));
  BOOST_TEST(Table->Services.at("x").Slots == 64U);
  BOOST_TEST(Table->CustomerByKey.at("k2").Name == "t1");
  BOOST_TEST(*Table->CustomerByKey.at("k1").Priority == 1U);
  BOOST_TEST(!Table->CustomerByKey.at("k3").Priority.has_value());
  BOOST_TEST((Table->Limits.IdleTimeout == 15s));
}

BOOST_AUTO_TEST_CASE(unreadable_configuration_reports_the_error) {
  const auto Decoded = decodeRoutes(R"({"version":"x","routes":[]})");
  BOOST_TEST(!Decoded.Table);
  BOOST_TEST(!Decoded.Problem.empty());
}

BOOST_AUTO_TEST_CASE(shares_of_a_split_follow_the_weights) {
  const auto Table = decodeRoutes(Routes).Table;
  const route_rule &Route = Table->Routes[0];
  int Small = 0;
  for (std::uint64_t Hash = 0; Hash < 1U << 20U; Hash += 64)
    Small += serviceFor(Route, Hash) == "y" ? 1 : 0;
  BOOST_TEST(Small == (1 << 20) / 64 / 10, boost::test_tools::tolerance(1.0));
}

BOOST_AUTO_TEST_CASE(endpoint_entry_is_decoded) {
  const auto Info = decodeEndpoint("i-1", Entry);
  BOOST_REQUIRE(Info.has_value());
  BOOST_TEST(Info->Address == "10.0.0.9:8080");
  BOOST_TEST(Info->Slots == 64U);
  BOOST_TEST((Info->State == endpoint_state::Ready));
  const auto Born = decodeEndpoint(
      "i-1", replaced(Entry, "\"sequence\":4", "\"sequence\":4,\"born\":99"));
  BOOST_TEST(Born->Incarnation == 99U);
}

// Guards against entries of other writers whose fields are missing, have
// another type or hold an unknown state. None of them yields an endpoint.
BOOST_AUTO_TEST_CASE(malformed_entries_yield_no_endpoint) {
  const std::vector<std::pair<std::string, std::string>> Wrong{
      {"\"slots\":64", "\"slots\":true"},
      {"\"slots\":64", "\"slots\":\"64\""},
      {"\"slots\":64", "\"slots\":-1"},
      {"\"state\":\"ready\"", "\"state\":\"asleep\""},
      {"\"state\":\"ready\",", ""},
      {"\"10.0.0.9:8080\"", "\"nowhere\""},
      {"\"service\":\"x\"", "\"service\":7"},
      {"\"version\":\"v1\",", ""},
      {"\"sequence\":4", "\"sequence\":4.5"},
      {"\"sequence\":4", "\"sequence\":4,\"born\":\"today\""},
      {"\"sequence\":4", "\"sequence\":4,\"born\":4.5"},
      {"\"sequence\":4", "\"sequence\":4,\"born\":true"},
      {"\"sequence\":4", "\"sequence\":4,\"born\":null"},
      {",\"sequence\":4", ""},
      {"\"slots\":64,", ""},
      {"\"slots\":64", "\"slots\":4294967297"},
      {"\"slots\":64", "\"slots\":4294967295"},
      {"\"slots\":64", "\"slots\":65537"},
      {"\"slots\":64", "\"slots\":1e300"},
      {"\"slots\":64", "\"slots\":1e999"},
      {"\"slots\":64", "\"slots\":18446744073709551615"},
      {"\"slots\":64", "\"slots\":18446744073709551616"},
      {"\"sequence\":4", "\"sequence\":18446744073709551615"},
      {"\"sequence\":4", "\"sequence\":4,\"born\":1e99"},
      {"\"cold_remaining_ms\":0", "\"cold_remaining_ms\":-1e999"},
      {"10.0.0.9:8080", "10.0.0.9:0"},
      {"10.0.0.9:8080", "10.0.0.9:65536"},
      {"10.0.0.9:8080", "10.0.0.9:-1"},
      {"10.0.0.9:8080", "10.0.0.9:99999999999999999999"},
      {"10.0.0.9:8080", "10.0.0.9:"},
      {"10.0.0.9:8080", "10.0.0.999:80"},
      {"\"state\":\"ready\"", "\"state\":1"},
      {"\"service\":\"x\",", ""},
      {"\"10.0.0.9:8080\"", "8080"},
      {"\"zone\":\"hall-a\"", "\"zone\":[]"},
      {"\"zone\":\"hall-a\",", ""},
      {"\"cold_remaining_ms\":0", "\"cold_remaining_ms\":\"0\""},
      {"\"cold_remaining_ms\":0,", ""},
      {"hall-a", "\xff"},
      {Entry, "7"},
      {Entry, ""},
      {"{", "["}};
  for (const auto &[From, To] : Wrong)
    BOOST_TEST(!decodeEndpoint("i-1", replaced(Entry, From, To)).has_value(),
               To);
}

// Failure: another writer's entry is nested so deeply that its values take the
// memory of the VM.
BOOST_AUTO_TEST_CASE(deeply_nested_values_are_dropped) {
  constexpr std::size_t Depth = 500'000;
  const std::string Arrays = std::string(Depth, '[') + std::string(Depth, ']');
  std::string Objects;
  for (std::size_t Each = 0; Each < Depth; ++Each)
    Objects += "{\"a\":";
  Objects += "1" + std::string(Depth, '}');
  const std::size_t Before = peakResidentBytes();
  for (const std::string &Nested : {Arrays, Objects}) {
    const auto Info =
        decodeEndpoint("i-1", replaced(Entry, "\"sequence\":4",
                                       "\"sequence\":4,\"extra\":" + Nested));
    BOOST_REQUIRE(Info.has_value());
    BOOST_TEST(Info->Slots == 64U);
    BOOST_TEST(!decodeEndpoint("i-1", Nested).has_value());
    BOOST_TEST(!decodeEndpoint("i-1", Nested.substr(0, Nested.size() / 2))
                    .has_value());
  }
  constexpr std::size_t MaxGrowthBytes = 24U << 20U;
  BOOST_TEST(peakResidentBytes() - Before < MaxGrowthBytes);
}

// Failure: an endpoint's id holds a line break, and its requests' heads hold
// another line.
BOOST_AUTO_TEST_CASE(ids_that_no_head_can_hold_yield_no_endpoint) {
  for (const char *Id : {"i\r\nX: 1", "i\n", "\x01", "\x7f"})
    BOOST_TEST(!decodeEndpoint(Id, Entry).has_value());
  BOOST_TEST(decodeEndpoint("\xc3\xa4-1", Entry).has_value());
}

// Guards against times in orders and routes that overflow when they are
// converted.
BOOST_AUTO_TEST_CASE(out_of_range_times_are_clamped) {
  const auto Order = decodeRolloutOrder(
      R"({"service":"x","target":"v2","duration_s":1e300})", 9);
  BOOST_REQUIRE(Order.has_value());
  BOOST_TEST((Order->Length == 365 * 24h));
  const auto [Table, Problem] = decodeRoutes(
      replaced(Routes, "\"timeout_ms\":12000", "\"timeout_ms\":1e300"));
  BOOST_REQUIRE(Table);
  BOOST_TEST((Table->Routes[0].Timeout == 365 * 24h));
}

BOOST_AUTO_TEST_CASE(rollout_records_are_decoded) {
  const auto Order = decodeRolloutOrder(
      R"({"service":"x","target":"v2","duration_s":12.5})", 9);
  BOOST_REQUIRE(Order.has_value());
  BOOST_TEST((Order->Length == 12500ms));
  BOOST_TEST(Order->Offset == 9U);
  const auto Status =
      decodeRolloutStatus(encodeRolloutStatus("v2", rollout_state::RolledBack));
  BOOST_REQUIRE(Status.has_value());
  BOOST_TEST(Status->Target == "v2");
  BOOST_TEST((Status->State == rollout_state::RolledBack));
  BOOST_TEST(!decodeRolloutStatus(R"({"state":"odd","target":"v2"})"));
}

BOOST_AUTO_TEST_CASE(log_pages_are_decoded) {
  std::string Bytes("\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\x02", 16);
  Bytes += encodeKeyedRecord("config", "{}");
  Bytes += encodeKeyedRecord("i-1", "");
  const auto Page = decodeTopicPage(Bytes, 5, true);
  BOOST_REQUIRE(Page.has_value());
  BOOST_TEST(Page->End == 9U);
  BOOST_TEST(Page->First == 2U);
  BOOST_REQUIRE(Page->Records.size() == 2U);
  BOOST_TEST(Page->Records[0].Key == "config");
  BOOST_TEST(*Page->Records[0].Value == "{}");
  BOOST_TEST(Page->Records[1].Offset == 6U);
  BOOST_TEST(!Page->Records[1].Value.has_value()); // the key was dropped
  Bytes.pop_back();
  const auto Cut = decodeTopicPage(Bytes, 5, true);
  BOOST_REQUIRE(Cut.has_value());
  BOOST_TEST(Cut->IsCut);
  BOOST_REQUIRE(Cut->Records.size() == 1U);
  BOOST_TEST(Cut->Records[0].Key == "config");
  BOOST_TEST(!decodeTopicPage(Bytes.substr(0, 15), 5, true).has_value());
}

// Failure: a record's key is longer than the record.
BOOST_AUTO_TEST_CASE(record_without_a_readable_key_leaves_the_others) {
  const std::string Bytes =
      std::string(15, '\0') + '\x04' + encodeKeyedRecord("a", "1") +
      encodeRecord("\x05keyy") + encodeRecord("") + encodeKeyedRecord("b", "2");
  const auto Page = decodeTopicPage(Bytes, 0, true);
  BOOST_REQUIRE(Page.has_value());
  BOOST_REQUIRE(Page->Records.size() == 4U);
  BOOST_TEST(Page->Records[0].Key == "a");
  BOOST_TEST(Page->Records[3].Key == "b");
  BOOST_TEST(Page->Records[3].Offset == 3U);
  BOOST_REQUIRE(Page->Dropped.size() == 2U);
  BOOST_TEST(*Page->Dropped[0].Offset == 1U);
  BOOST_TEST(*Page->Dropped[1].Offset == 2U);
}

BOOST_AUTO_TEST_CASE(newest_records_are_decoded) {
  const auto Page = decodeNewestPage(
      R"({"items":[{"key":"a","value":"aGVsbG8=","offset":4},)"
      R"({"key":"b","value":"*","offset":5}],"has_more":true,"end_offset":6})");
  BOOST_REQUIRE(Page.has_value());
  BOOST_TEST(Page->HasMore);
  BOOST_TEST(*Page->Records[0].Value == "hello");
  BOOST_TEST(!Page->Records[1].Value.has_value());
}

// Guards against a value that isn't text and makes the whole page unreadable.
BOOST_AUTO_TEST_CASE(newest_record_without_text_leaves_the_others) {
  const auto Page = decodeNewestPage(
      R"({"items":[{"key":"a","value":7,"offset":3},{"key":"b","offset":4},)"
      R"({"key":"c","value":"aGVsbG8=","offset":5}],"end_offset":6})");
  BOOST_REQUIRE(Page.has_value());
  BOOST_REQUIRE(Page->Records.size() == 3U);
  BOOST_TEST(!Page->Records[0].Value.has_value());
  BOOST_TEST(!Page->Records[1].Value.has_value());
  BOOST_TEST(*Page->Records[2].Value == "hello");
}

// Failure: one item of a listing can't be read.
BOOST_AUTO_TEST_CASE(odd_items_leave_the_others) {
  const std::string Sound = R"({"key":"s","value":"aGVsbG8=","offset":5})";
  for (const std::string_view Odd :
       {R"({"key":null,"value":"Kg==","offset":4})",
        R"({"key":7,"value":"Kg==","offset":4})",
        R"({"value":"Kg==","offset":4})", "null", "[]", "true",
        R"({"key":"","value":"Kg==","offset":4})",
        R"({"key":"o","value":"Kg=="})",
        R"({"key":"o","value":"Kg==","offset":true})",
        R"({"key":"o","value":"Kg==","offset":-4})",
        R"({"key":"o","value":"Kg==","offset":6})",
        R"({"key":"o","value":"Kg==","offset":1e300})"}) {
    const auto Page =
        decodeNewestPage("{\"items\":[" + std::string(Odd) + "," + Sound + "," +
                         std::string(Odd) + R"(],"end_offset":6})");
    BOOST_REQUIRE(Page.has_value());
    BOOST_REQUIRE(Page->Records.size() == 1U);
    BOOST_TEST(*Page->Records[0].Value == "hello");
    BOOST_TEST(Page->Dropped.size() == 2U);
  }
}

// Failure: bytes that are no UTF-8, or control characters, stand in a page as
// they are. A key names the same bytes in the next call.
BOOST_AUTO_TEST_CASE(bytes_of_keys_are_kept) {
  const auto DecodeWithKey = [](std::string_view Key) {
    std::string Page = R"({"items":[{"key":"s","value":"aGVsbG8=","offset":4},)"
                       R"({"key":")";
    Page += Key;
    Page += R"(","value":"Kg==","offset":5}],"end_offset":6})";
    return decodeNewestPage(Page);
  };
  for (const std::string_view Key :
       {"\xff", "a\x80\xbf", "\xc3", "\xc3\xa9\xf0", "\n", "a\x01\xfe"}) {
    const auto Page = DecodeWithKey(Key);
    BOOST_REQUIRE(Page.has_value());
    BOOST_REQUIRE(Page->Records.size() == 2U);
    BOOST_TEST(*Page->Records[0].Value == "hello");
    BOOST_TEST(Page->Records[1].Key == Key);
    BOOST_TEST(Page->LastExactKey == Key);
  }
  const auto Replaced = DecodeWithKey("a\xef\xbf\xbd");
  BOOST_REQUIRE(Replaced.has_value());
  BOOST_TEST(Replaced->LastExactKey == "s");
  BOOST_TEST(Replaced->LastKey == "a\xef\xbf\xbd");
}

// Failure: a field beside the items can't be read.
BOOST_AUTO_TEST_CASE(odd_fields_of_a_page_leave_its_items) {
  const std::string Items =
      R"({"items":[{"key":"s","value":"Kg==","offset":4}])";
  const auto WithoutEnd = decodeNewestPage(Items + "}");
  BOOST_REQUIRE(WithoutEnd.has_value());
  BOOST_TEST(WithoutEnd->End == 5U);
  BOOST_TEST(decodeNewestPage(Items + R"(,"end_offset":-1})")->End == 5U);
  const auto OddMore =
      decodeNewestPage(Items + R"(,"end_offset":9,"has_more":"yes"})");
  BOOST_REQUIRE(OddMore.has_value());
  BOOST_TEST(OddMore->HasMore);
  BOOST_TEST(!decodeNewestPage(R"({"items":{},"end_offset":9})").has_value());
  BOOST_TEST(!decodeNewestPage(R"({"items":[]})").has_value());
  BOOST_TEST(!decodeNewestPage("[]").has_value());
}

// Guards against decoders that throw, or read out of bounds, on arbitrary bytes
// from the store.
BOOST_AUTO_TEST_CASE(decoders_accept_any_bytes) {
  const bool IsOk = rc::check([](const std::string &Bytes) {
    decodeRoutes(Bytes);
    decodeEndpoint("i", Bytes);
    decodeRolloutOrder(Bytes, 0);
    decodeRolloutStatus(Bytes);
    decodeNewestPage(Bytes);
    decodeTopicPage(Bytes, 0, true);
    decodeTopicPage(std::string(16, '\0') + Bytes, 0, true);
  });
  BOOST_TEST(IsOk);
}

// Like decoders_accept_any_bytes, with valid records in which one byte is
// corrupted.
BOOST_AUTO_TEST_CASE(decoders_accept_corrupted_records) {
  const bool IsOk = rc::check([] {
    std::string Text = *rc::gen::element(Routes, Entry);
    const auto At = *rc::gen::inRange<std::size_t>(0, Text.size());
    Text[At] = *rc::gen::arbitrary<char>();
    decodeRoutes(Text);
    decodeEndpoint("i", Text);
  });
  BOOST_TEST(IsOk);
}

BOOST_AUTO_TEST_CASE(cold_rules_and_regions_are_decoded) {
  const std::string Text =
      replaced(replaced(replaced(Routes, "\"max_connections\":370",
                                 "\"max_connections\":370,\"cold_start_s\":3.5,"
                                 "\"cold_per_s\":5.3"),
                        "\"max_attempts\":2",
                        "\"max_attempts\":2,\"allowed_regions\":[\"north\"]"),
               "\"api_keys\":[\"k3\"]",
               "\"api_keys\":[\"k3\"],\"allowed_regions\":[\"south\"]");
  const auto [Table, Problem] = decodeRoutes(Text);
  BOOST_REQUIRE(Table);
  BOOST_TEST((Table->Services.at("x").ColdTime == 3500ms));
  BOOST_TEST(Table->Services.at("x").ColdRequestsPerSecond == 5.3);
  BOOST_TEST(Table->Services.at("y").ColdRequestsPerSecond == 0);
  BOOST_TEST(Table->find("h.example", "/a/b/")->Regions.size() == 1U);
  BOOST_TEST(Table->CustomerByKey.at("k3").Regions[0] == "south");
}

// Guards against cold-start times or rates that are out of range.
BOOST_AUTO_TEST_CASE(out_of_range_cold_rules_are_clamped) {
  const auto [Table, Problem] =
      decodeRoutes(replaced(Routes, "\"max_connections\":370",
                            "\"max_connections\":370,\"cold_start_s\":1e300,"
                            "\"cold_per_s\":-4"));
  BOOST_REQUIRE(Table);
  BOOST_TEST((Table->Services.at("x").ColdTime == 1h));
  BOOST_TEST(Table->Services.at("x").ColdRequestsPerSecond == 0);
}

// Guards against cold times that overflow or change when they are converted.
BOOST_AUTO_TEST_CASE(out_of_range_cold_times_are_clamped) {
  const auto ColdFor = [](const std::string &Millis) {
    return decodeEndpoint("e1", replaced(Entry, "\"cold_remaining_ms\":0",
                                         "\"cold_remaining_ms\":" + Millis))
        ->ColdFor;
  };
  BOOST_TEST((ColdFor("2500") == 2500ms));
  BOOST_TEST((ColdFor("-2500") == 0ms));
  BOOST_TEST((ColdFor("1e300") == 1h));
  BOOST_TEST((ColdFor("9223372036854775807") == 1h));
}
