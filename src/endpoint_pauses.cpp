#include "endpoint_pauses.h"

#include "message_pack.h"
#include "peer_loads.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace clementinelane {

namespace {

using json = nlohmann::json;

/// Bounds the harm of a wrong value.
constexpr double MaxPauseSeconds = 3600;

} // namespace

duration pauseTime(double Seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(std::clamp(Seconds, 0.0, MaxPauseSeconds)));
}

std::string encodePause(const pause_note &Note) {
  std::string Bytes;
  json::to_msgpack(json::array({Note.Endpoint, Note.Left.count()}), Bytes);
  return Bytes;
}

std::optional<pause_note> decodePause(std::string_view Bytes) {
  try {
    const json Body = decodeMessagePack(Bytes);
    return pause_note{
        Body.at(0).get<std::string>(),
        std::chrono::milliseconds(Body.at(1).get<std::uint32_t>())};
  } catch (const json::exception &) {
    return std::nullopt; // the caller logs it
  }
}

mono_time endpoint_pauses::pause(std::string_view Id, duration Time,
                                 mono_time Now) {
  entry &Entry = Entries[digestHash(Id)];
  Entry.Id = Id;
  Entry.Until = std::max(Entry.Until, Now + Time);
  return Entry.Until;
}

std::optional<mono_time> endpoint_pauses::endOf(std::uint32_t Endpoint) const {
  if (Entries.empty())
    return std::nullopt;
  const auto Found = Entries.find(Endpoint);
  return Found == Entries.end() ? std::nullopt
                                : std::optional(Found->second.Until);
}

std::vector<std::string> endpoint_pauses::expire(mono_time Now) {
  std::vector<std::string> Ended;
  std::erase_if(Entries, [&](const auto &Item) {
    if (Item.second.Until > Now)
      return false;
    Ended.push_back(Item.second.Id);
    return true;
  });
  return Ended;
}

} // namespace clementinelane
