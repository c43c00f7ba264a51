#include "request_trace.h"

#include "config.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <nlohmann/json.hpp>

namespace clementinelane {

namespace {

using json = nlohmann::json;

/// Fields that formatLine() prints at fixed positions, or omits.
constexpr std::array<std::string_view, 6> OmittedFields{
    "time_ms", "level", "event", "program", "vm", "id"};

std::string valueText(const json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

std::string textField(const json &Line, const char *Name) {
  const auto Found = Line.find(Name);
  return Found == Line.end() ? std::string{} : valueText(*Found);
}

std::string detailsOf(const json &Line) {
  std::string Text;
  for (const auto &[Key, Value] : Line.items())
    if (std::find(OmittedFields.begin(), OmittedFields.end(), Key) ==
        OmittedFields.end())
      Text += (Text.empty() ? "" : " ") + Key + "=" + valueText(Value);
  return Text;
}

} // namespace

bool request_trace::add(std::string_view Line) {
  const json Body = json::parse(Line, nullptr, false);
  if (!Body.is_object() || !Body.contains("event") ||
      !Body.contains("time_ms") || !Body["time_ms"].is_number_unsigned())
    return false;
  trace_line Entry;
  Entry.TimeMs = Body["time_ms"].get<std::uint64_t>();
  Entry.Vm = textField(Body, "vm");
  Entry.Event = textField(Body, "event");
  Entry.Details = detailsOf(Body);
  const std::string LineId = textField(Body, "id");
  if (LineId.empty()) {
    ContextLines.push_back({std::move(Entry), textField(Body, "endpoint")});
    return true;
  }
  if (LineId != Id)
    return true;
  for (const char *Name : {"endpoint", "where"})
    if (std::string Endpoint = textField(Body, Name); !Endpoint.empty())
      Endpoints.push_back(std::move(Endpoint));
  OwnLines.push_back(std::move(Entry));
  return true;
}

std::vector<trace_line> request_trace::lines() const {
  std::vector<trace_line> Lines = OwnLines;
  if (OwnLines.empty())
    return Lines;
  const auto ByTime = [](const trace_line &A, const trace_line &B) {
    return A.TimeMs < B.TimeMs;
  };
  const auto [First, Last] =
      std::minmax_element(OwnLines.begin(), OwnLines.end(), ByTime);
  const auto Window = static_cast<std::uint64_t>(
      std::chrono::milliseconds(config::ExplainLookback).count());
  for (const context_line &Context : ContextLines) {
    const trace_line &Line = Context.Line;
    const bool IsInWindow =
        Line.TimeMs + Window >= First->TimeMs && Line.TimeMs <= Last->TimeMs;
    const bool IsOnSameVm = std::any_of(
        OwnLines.begin(), OwnLines.end(),
        [&Line](const trace_line &Each) { return Each.Vm == Line.Vm; });
    // Changes of endpoints that the request didn't use are unrelated.
    const bool IsRelevant = Context.Endpoint.empty() ||
                            std::find(Endpoints.begin(), Endpoints.end(),
                                      Context.Endpoint) != Endpoints.end();
    if (IsInWindow && IsOnSameVm && IsRelevant)
      Lines.push_back(Line);
  }
  std::stable_sort(Lines.begin(), Lines.end(), ByTime);
  return Lines;
}

std::string formatLine(const trace_line &Line) {
  constexpr std::uint64_t SecondMs = 1000;
  const auto Seconds = static_cast<std::time_t>(Line.TimeMs / SecondMs);
  std::tm Utc{};
  gmtime_r(&Seconds, &Utc);
  std::array<char, 16> Clock{};
  const std::size_t Length =
      std::strftime(Clock.data(), Clock.size(), "%H:%M:%S", &Utc);
  std::string Text(Clock.data(), Length);
  Text += "." + std::to_string(SecondMs + Line.TimeMs % SecondMs).substr(1);
  Text += " " + Line.Vm + " " + Line.Event;
  if (!Line.Details.empty())
    Text += " " + Line.Details;
  return Text;
}

} // namespace clementinelane
