#include "rollout_codec.h"

#include "message_pack.h"

#include <nlohmann/json.hpp>

namespace clementinelane {

namespace {

using json = nlohmann::json;

/// Without the empty buckets at its end: a report must fit into a datagram.
json encodeHistogram(const side_tally::histogram &Histogram) {
  auto Last = Histogram.end();
  while (Last != Histogram.begin() && *(Last - 1) == 0)
    --Last;
  return json(std::vector<std::uint32_t>(Histogram.begin(), Last));
}

json encodeSide(const side_tally &Side) {
  return {{"sent", Side.Sent},
          {"count", Side.Count},
          {"failures", Side.Failures},
          {"wait", encodeHistogram(Side.FirstByteTimes)},
          {"pace", encodeHistogram(Side.EventIntervals)},
          {"answer", encodeHistogram(Side.AnswerTimes)},
          {"open", encodeHistogram(Side.OpenAges)}};
}

void decodeHistogram(const json &From, side_tally::histogram &Into) {
  for (std::size_t I = 0; I < Into.size() && I < From.size(); ++I)
    Into[I] = From[I].get<std::uint32_t>();
}

side_tally decodeSide(const json &From) {
  side_tally Side;
  Side.Sent = From.value("sent", 0U);
  Side.Count = From.at("count").get<std::uint32_t>();
  Side.Failures = From.at("failures").get<std::uint32_t>();
  decodeHistogram(From.at("wait"), Side.FirstByteTimes);
  decodeHistogram(From.at("pace"), Side.EventIntervals);
  // Routers of the previous release don't send these.
  if (const auto Answer = From.find("answer"); Answer != From.end())
    decodeHistogram(*Answer, Side.AnswerTimes);
  if (const auto Open = From.find("open"); Open != From.end())
    decodeHistogram(*Open, Side.OpenAges);
  return Side;
}

std::int64_t millisOf(duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

json encodeTally(const version_tally &Tally) {
  json Kinds = json::object();
  for (const auto &[Kind, Pair] : Tally.Kinds)
    Kinds[Kind] = {{"old", encodeSide(Pair.Old)},
                   {"new", encodeSide(Pair.New)}};
  return Kinds;
}

version_tally decodeTally(const json &From) {
  version_tally Tally;
  for (const auto &[Kind, Pair] : From.items())
    Tally.Kinds[Kind] = {decodeSide(Pair.at("old")),
                         decodeSide(Pair.at("new"))};
  return Tally;
}

} // namespace

std::string encodeReport(const rollout_report &Report) {
  const json Body = {{"vm", Report.Vm},
                     {"incarnation", Report.Incarnation},
                     {"service", Report.Service},
                     {"target", Report.Target},
                     {"order", Report.OrderOffset},
                     {"elapsed_ms", millisOf(Report.Elapsed)},
                     {"verdict", Report.Verdict},
                     {"vms", Report.Vms},
                     {"kinds", encodeTally(Report.Tally)},
                     {"open", encodeTally(Report.OpenAges)}};
  std::string Bytes;
  json::to_msgpack(Body, Bytes);
  return Bytes;
}

std::optional<rollout_report> decodeReport(std::string_view Bytes) {
  try {
    const json Body = decodeMessagePack(Bytes);
    rollout_report Report;
    Report.Vm = Body.at("vm").get<std::string>();
    Report.Incarnation = Body.at("incarnation").get<std::uint64_t>();
    Report.Service = Body.at("service").get<std::string>();
    Report.Target = Body.at("target").get<std::string>();
    Report.OrderOffset = Body.at("order").get<std::uint64_t>();
    Report.Elapsed =
        std::chrono::milliseconds(Body.at("elapsed_ms").get<std::int64_t>());
    Report.Verdict = Body.value("verdict", std::string{});
    if (const auto Vms = Body.find("vms"); Vms != Body.end())
      Report.Vms = Vms->get<std::vector<std::uint32_t>>();
    Report.Tally = decodeTally(Body.at("kinds"));
    if (const auto Open = Body.find("open"); Open != Body.end())
      Report.OpenAges = decodeTally(*Open);
    return Report;
  } catch (const json::exception &) {
    return std::nullopt; // the caller logs it
  }
}

} // namespace clementinelane
