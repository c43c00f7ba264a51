#pragma once

#include "clementinelane/error.h"
#include "clock.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// Kinds of gossip entries. A new kind needs a row in the table of kinds.
enum class entry_kind : std::uint8_t {
  Member,       ///< a VM and its state; version: incarnation and state
  Leaving,      ///< a leaving endpoint; key: its name
  Offset,       ///< configuration in force on a VM; version: the offset
  CentreOffset, ///< minimum offset in force in a data centre
  Reach,        ///< contact with a data centre; version: a counter
  Load,         ///< load digest of a pool; version: a sequence number
  Rating,       ///< sums of ratings; version: their count
  Count
};

/// Where an entry is propagated: in the source's data centre or everywhere.
enum class entry_scope : std::uint8_t { DataCentre, Everywhere };

/// One row of the table of kinds.
struct kind_traits {
  entry_kind Kind;
  std::string_view Name;
  entry_scope Scope;
  /// For kinds that change seldom: a sync compares hashes and sends what
  /// differs. Other kinds change continually; a sync sends a random sample of
  /// them.
  bool IsHashed;
  bool IsUrgent;   ///< sent before other kinds when the byte budget is short
  duration MaxAge; ///< 0: kept until its source is forgotten
};

/// The row of `Kind`, or null for a kind that only a newer version knows.
const kind_traits *traitsOf(std::uint8_t Kind);

/// One versioned entry. Of two with the same kind, source and key the higher
/// version wins, and of equal versions the greater value. This total order
/// makes merging independent of the arrival order, and entries never revert.
struct gossip_entry {
  std::uint8_t Kind = 0;
  std::string Source; ///< control link of the publishing VM, or the data centre
  std::string Key;
  std::uint64_t Version = 0;
  std::string Value;
  std::uint32_t AgeSeconds = 0; ///< lets all members drop it at the same time
  MSGPACK_DEFINE(Kind, Source, Key, Version, Value, AgeSeconds)
};

enum class gossip_type : std::uint8_t {
  Probe,
  ProbeRequest,
  IndirectAck,
  Sync,
  Reply
};

/// A message between control processes, encoded as a map so that unknown fields
/// of newer versions are skipped.
struct gossip_message {
  std::uint32_t Protocol = 0;
  std::uint8_t Type = 0;
  std::string From; ///< control link of the sender
  std::uint64_t Incarnation = 0;
  std::string DataCentre;
  std::uint64_t Offset = 0; ///< configuration in force at the sender
  std::string Target;       ///< of ProbeRequest and IndirectAck
  std::vector<gossip_entry> Entries;
  std::vector<std::uint64_t> Buckets; ///< of Sync
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("p", Protocol), MSGPACK_NVP("t", Type),
                     MSGPACK_NVP("f", From), MSGPACK_NVP("i", Incarnation),
                     MSGPACK_NVP("d", DataCentre), MSGPACK_NVP("o", Offset),
                     MSGPACK_NVP("g", Target), MSGPACK_NVP("e", Entries),
                     MSGPACK_NVP("b", Buckets))
};

std::string encodeGossip(const gossip_message &Message);
/// PeerIncompatible if the message has another protocol version or can't be
/// decoded.
result<gossip_message> decodeGossip(std::string_view Bytes);

/// Approximate encoded size of `Entry` in bytes.
std::size_t wireBytes(const gossip_entry &Entry);

} // namespace clementinelane
