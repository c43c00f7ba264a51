#pragma once

#include "clementinelane/error.h"
#include "config_tables.h"
#include "configuration.h"

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// Log stream that holds the configuration.
constexpr std::string_view ConfigStream = "config";

/// Common fields of all records of the stream.
struct record_head {
  std::uint32_t Schema = 0;
  std::string Kind;
  std::string Id;
  MSGPACK_DEFINE_MAP(Schema, Kind, Id)
};

constexpr std::string_view ChangeKind = "change";
constexpr std::string_view SnapshotKind = "snapshot";

/// One configuration change, as stored in the log.
struct change_record {
  std::uint32_t Schema = 0;
  std::string Kind{ChangeKind};
  std::string Id; ///< unique; finds the record if the append's response is lost
  std::string Author;
  std::map<std::string, std::string> Upserts; ///< file name to text
  std::vector<std::string> Deletes;
  /// Expected offset of each file that the change touches or depends on, for
  /// optimistic concurrency control; 0 for a file that did not exist.
  std::map<std::string, std::uint64_t> Bases;
  MSGPACK_DEFINE_MAP(Schema, Kind, Id, Author, Upserts, Deletes, Bases)
};

std::string encodeChange(const change_record &Change);
result<change_record> decodeChange(std::string_view Bytes);

/// One file of the state.
struct stored_file {
  std::string Text;
  std::uint64_t Offset = 0; ///< of the change that wrote it
  MSGPACK_DEFINE_MAP(Text, Offset)
};

/// The configuration folder at one offset, as control sends it to entry and
/// peers.
struct config_state {
  std::uint64_t Next = 0;     ///< offset of the next record to apply
  std::uint64_t Accepted = 0; ///< offset of the last accepted change, plus one
  std::map<std::string, stored_file> Files;
  std::uint32_t Schema = 0;       ///< highest schema of the accepted changes
  std::uint64_t SnapshotNext = 0; ///< offset of the last snapshot, plus one
  std::int64_t SnapshotAt = 0;    ///< wall time of the last snapshot, seconds
  std::uint64_t TailHash = 0;     ///< of the record before Next; 0: unknown
  MSGPACK_DEFINE_MAP(Next, Accepted, Files, Schema, SnapshotNext, SnapshotAt,
                     TailHash)
};

std::string encodeState(const config_state &State);
result<config_state> decodeState(std::string_view Bytes);
std::vector<config_file> filesOf(const config_state &State);
/// SHA-256 over the result of the accepted changes.
std::string digestOf(const config_state &State);

/// Snapshot of the state in the log, so that the changes before it may expire.
struct snapshot_record {
  std::uint32_t Schema = 0;
  std::string Kind{SnapshotKind};
  std::string Id;
  std::string Vm;      ///< VM that appended it
  std::int64_t At = 0; ///< wall time, seconds
  std::string Digest;  ///< of State
  config_state State;  ///< covers all records before State.Next
  MSGPACK_DEFINE_MAP(Schema, Kind, Id, Vm, At, Digest, State)
};

std::string encodeSnapshot(const snapshot_record &Snapshot);
/// RecordCorrupt also if the digest doesn't match the state.
result<snapshot_record> decodeSnapshot(std::string_view Bytes);
/// The kind of a record; empty if it can't be decoded.
std::string kindOfRecord(std::string_view Bytes);

/// Hash that distinguishes two records at the same offset; never 0.
std::uint64_t hashOfRecord(std::string_view Bytes);

/// Outcome of evaluating one record.
struct change_verdict {
  std::uint64_t Offset = 0;
  std::string Id;
  std::error_code Error; ///< none: accepted
  std::string Detail;    ///< the conflicting file, or the first error
  bool IsSnapshot = false;
};

/// Replicated state machine that applies the records of the configuration
/// stream. All processes compute the same verdicts, since these depend only on
/// the records and their order.
class config_replica {
public:
  /// Evaluates and applies the record at `Offset`, which must be state().Next.
  change_verdict apply(std::uint64_t Offset, std::string_view Bytes);
  /// Replaces the state by `Newer` if that is at a higher offset.
  bool adopt(config_state Newer);

  const config_state &state() const { return State; }
  const configuration_ptr &config() const { return Config; }

private:
  change_verdict evaluate(std::uint64_t Offset, std::string_view Bytes);
  change_verdict applyChange(std::uint64_t Offset, const change_record &Change);
  change_verdict applySnapshot(std::uint64_t Offset, std::string_view Bytes);
  void write(const change_record &Change, std::uint64_t Accepted);
  parsed_configuration parseFolder(const change_record &Change,
                                   std::uint64_t Accepted) const;

  config_state State;
  config_tables Tables;
  configuration_ptr Config = std::make_shared<configuration>();
};

} // namespace clementinelane
