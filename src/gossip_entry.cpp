#include "gossip_entry.h"

#include "config.h"

#include <array>

namespace clementinelane {

namespace {

constexpr duration NoMaxAge{0};

constexpr std::array<kind_traits, static_cast<std::size_t>(entry_kind::Count)>
    Kinds{{
        {entry_kind::Member, "member", entry_scope::Everywhere, true, true,
         NoMaxAge},
        {entry_kind::Leaving, "leaving", entry_scope::Everywhere, true, true,
         config::LeavingEndpointTtl},
        {entry_kind::Offset, "offset", entry_scope::DataCentre, false, true,
         NoMaxAge},
        {entry_kind::CentreOffset, "centre_offset", entry_scope::Everywhere,
         false, true, NoMaxAge},
        {entry_kind::Reach, "reach", entry_scope::DataCentre, false, true,
         NoMaxAge},
        {entry_kind::Load, "load", entry_scope::Everywhere, false, false,
         config::LoadDigestTtl},
        {entry_kind::Rating, "rating", entry_scope::Everywhere, false, false,
         NoMaxAge},
    }};

/// Encoded size of the array header, kind, version, age and string lengths.
constexpr std::size_t EntryOverhead = 14;

} // namespace

const kind_traits *traitsOf(std::uint8_t Kind) {
  return Kind < Kinds.size() ? &Kinds[Kind] : nullptr;
}

std::string encodeGossip(const gossip_message &Message) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Message);
  return {Buffer.data(), Buffer.size()};
}

result<gossip_message> decodeGossip(std::string_view Bytes) {
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size());
    auto Message = Handle.get().as<gossip_message>();
    if (Message.Protocol != config::GossipProtocol)
      return error_kind::PeerIncompatible;
    return Message;
  } catch (const std::exception &) {
    return error_kind::PeerIncompatible;
  }
}

std::size_t wireBytes(const gossip_entry &Entry) {
  return EntryOverhead + Entry.Source.size() + Entry.Key.size() +
         Entry.Value.size();
}

} // namespace clementinelane
