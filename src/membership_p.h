#pragma once

#include "membership.h"

namespace clementinelane {

/// States of one incarnation, in increasing precedence. Leaving, LeavingSuspect
/// and Left are those of a planned stop.
enum class member_state : std::uint8_t {
  Alive,
  Suspect,
  Leaving,
  LeavingSuspect,
  Dead,
  Left,
  Count
};

/// A member's version: its incarnation, then its state. Only the member itself
/// starts a new incarnation, which overrides every state of the previous one.
constexpr std::uint64_t StatesPerIncarnation = 8;

constexpr std::uint64_t versionOf(std::uint64_t Incarnation,
                                  member_state State) {
  return Incarnation * StatesPerIncarnation + static_cast<std::uint64_t>(State);
}
constexpr std::uint64_t incarnationOf(std::uint64_t Version) {
  return Version / StatesPerIncarnation;
}
constexpr member_state memberStateOf(std::uint64_t Version) {
  return static_cast<member_state>(Version % StatesPerIncarnation);
}
constexpr bool isDead(std::uint64_t Version) {
  return memberStateOf(Version) >= member_state::Dead;
}

/// Attributes that a member publishes about itself, fixed for one incarnation.
struct member_profile {
  std::string Vm;
  std::string DataCentre;
  std::string Region;
  std::string EntryLink;
  MSGPACK_DEFINE(Vm, DataCentre, Region, EntryLink)
};

std::string encodeProfile(const member_profile &Profile);
/// Empty if the bytes can't be decoded.
member_profile decodeProfile(std::string_view Bytes);

} // namespace clementinelane
