#include "change.h"

#include "codec.h"
#include "config.h"

#include <algorithm>
#include <xxhash.h>

namespace clementinelane {

namespace {

/// Optimistic concurrency check: the first file that was modified since
/// `Change` was made, or that it touches without a base offset.
std::optional<std::string> findConflict(const config_state &State,
                                        const change_record &Change) {
  for (const auto &[Name, Base] : Change.Bases) {
    const auto File = State.Files.find(Name);
    if (Base != (File == State.Files.end() ? 0 : File->second.Offset))
      return Name;
  }
  for (const auto &[Name, Text] : Change.Upserts)
    if (!Change.Bases.contains(Name))
      return Name;
  for (const std::string &Name : Change.Deletes)
    if (!Change.Bases.contains(Name))
      return Name;
  return std::nullopt;
}

} // namespace

std::string encodeChange(const change_record &Change) { return pack(Change); }

result<change_record> decodeChange(std::string_view Bytes) {
  return unpack<change_record>(Bytes, error_kind::RecordCorrupt);
}

std::string encodeState(const config_state &State) { return pack(State); }

result<config_state> decodeState(std::string_view Bytes) {
  return unpack<config_state>(Bytes, error_kind::RecordCorrupt);
}

std::vector<config_file> filesOf(const config_state &State) {
  std::vector<config_file> Files;
  for (const auto &[Name, File] : State.Files)
    Files.push_back({Name, File.Text});
  return Files;
}

std::string digestOf(const config_state &State) {
  config_state DigestInput;
  DigestInput.Accepted = State.Accepted;
  DigestInput.Files = State.Files;
  DigestInput.Schema = State.Schema;
  return sha256Hex(pack(DigestInput));
}

std::string encodeSnapshot(const snapshot_record &Snapshot) {
  return pack(Snapshot);
}

result<snapshot_record> decodeSnapshot(std::string_view Bytes) {
  auto Decoded = unpack<snapshot_record>(Bytes, error_kind::RecordCorrupt);
  if (Decoded && Decoded.value().Digest != digestOf(Decoded.value().State))
    return error_kind::RecordCorrupt;
  return Decoded;
}

std::uint64_t hashOfRecord(std::string_view Bytes) {
  return std::max<std::uint64_t>(XXH3_64bits(Bytes.data(), Bytes.size()), 1);
}

std::string kindOfRecord(std::string_view Bytes) {
  const auto Head = unpack<record_head>(Bytes, error_kind::RecordCorrupt);
  return Head ? Head.value().Kind : std::string();
}

change_verdict config_replica::apply(std::uint64_t Offset,
                                     std::string_view Bytes) {
  // Guard: a replica that skipped or repeated a record would evaluate later
  // ones against a different state than its peers, and verdicts would diverge.
  // So each record is applied only at its own offset.
  if (Offset != State.Next)
    return {Offset, "", error_kind::RecordCorrupt, "out of order"};
  change_verdict Verdict = evaluate(Offset, Bytes);
  // Newer programs may accept a record of a newer schema, so this one must not
  // evaluate that record or any later one.
  if (Verdict.Error == error_kind::SchemaTooNew)
    return Verdict;
  State.Next = Offset + 1;
  State.TailHash = hashOfRecord(Bytes);
  return Verdict;
}

change_verdict config_replica::evaluate(std::uint64_t Offset,
                                        std::string_view Bytes) {
  const auto Head = unpack<record_head>(Bytes, error_kind::RecordCorrupt);
  if (!Head)
    return {Offset, "", Head.error(), "unreadable"};
  const std::string &Id = Head.value().Id;
  // Guard: this program may misinterpret a state written under a newer schema
  // and reach other verdicts than newer programs. Parts of the fleet would then
  // have different configurations, so nothing is evaluated.
  const std::uint32_t Schema = std::max(Head.value().Schema, State.Schema);
  if (Schema > config::ConfigSchema)
    return {Offset, Id, error_kind::SchemaTooNew,
            "schema " + std::to_string(Schema)};
  if (Head.value().Kind == SnapshotKind)
    return applySnapshot(Offset, Bytes);
  if (Head.value().Kind != ChangeKind)
    return {Offset, Id, error_kind::RecordCorrupt,
            "unknown kind " + Head.value().Kind};
  if (Bytes.size() > config::MaxChangeBytes)
    return {Offset, Id, error_kind::RecordCorrupt, "too large"};
  const result<change_record> Decoded = decodeChange(Bytes);
  if (!Decoded || Id.empty())
    return {Offset, Id, error_kind::RecordCorrupt, "unreadable"};
  return applyChange(Offset, Decoded.value());
}

parsed_configuration config_replica::parseFolder(const change_record &Change,
                                                 std::uint64_t Accepted) const {
  std::map<std::string, std::string> Texts;
  for (const auto &[Name, File] : State.Files)
    Texts[Name] = File.Text;
  for (const auto &[Name, Text] : Change.Upserts)
    Texts[Name] = Text;
  for (const std::string &Name : Change.Deletes)
    Texts.erase(Name);
  std::vector<config_file> Files;
  Files.reserve(Texts.size());
  for (auto &[Name, Text] : Texts)
    Files.push_back({Name, std::move(Text)});
  return parseConfiguration(Files, Accepted);
}

change_verdict config_replica::applyChange(std::uint64_t Offset,
                                           const change_record &Change) {
  if (const auto Conflict = findConflict(State, Change))
    return {Offset, Change.Id, error_kind::ConfigConflict, *Conflict};
  const std::uint64_t Accepted = Offset + 1;
  auto Edit = config_tables::prepare(Change.Upserts, Change.Deletes);
  configuration_ptr Newer = Tables.rebuild(*Config, Edit, Accepted);
  if (!Newer) {
    // A parse of the whole folder decides, and gives the line of each error.
    parsed_configuration Parsed = parseFolder(Change, Accepted);
    if (!Parsed.Config)
      return {Offset, Change.Id, error_kind::ConfigInvalid,
              formatError(Parsed.Errors.front())};
    Newer = std::move(Parsed.Config);
  }
  write(Change, Accepted);
  Tables.commit(std::move(Edit));
  Config = std::move(Newer);
  return {Offset, Change.Id, {}, ""};
}

void config_replica::write(const change_record &Change,
                           std::uint64_t Accepted) {
  State.Accepted = Accepted;
  State.Schema = std::max(State.Schema, Change.Schema);
  for (const auto &[Name, Text] : Change.Upserts)
    State.Files[Name] = {Text, Accepted};
  for (const std::string &Name : Change.Deletes)
    State.Files.erase(Name);
}

// Guard: a process that applied the log incorrectly would spread its state
// through a snapshot. Its digest then differs from that of a replica at the
// same change. Such a snapshot is reported, never adopted and not counted as
// the last snapshot, so another one is appended.
change_verdict config_replica::applySnapshot(std::uint64_t Offset,
                                             std::string_view Bytes) {
  change_verdict Verdict{Offset, "", {}, "", true};
  const auto Decoded = decodeSnapshot(Bytes);
  if (!Decoded) {
    Verdict.Error = error_kind::RecordCorrupt;
    Verdict.Detail = "snapshot is truncated or its digest does not match";
    return Verdict;
  }
  const snapshot_record &Snapshot = Decoded.value();
  Verdict.Id = Snapshot.Id;
  const bool IsSame = Snapshot.State.Accepted == State.Accepted &&
                      Snapshot.Digest == digestOf(State);
  const bool IsEarlier = Snapshot.State.Accepted < State.Accepted;
  if ((!IsSame && !IsEarlier) || Snapshot.State.Next > Offset) {
    Verdict.Error = error_kind::ConfigConflict;
    Verdict.Detail =
        "snapshot of " + Snapshot.Vm + " differs from the local state";
    return Verdict;
  }
  State.SnapshotNext = Offset + 1;
  State.SnapshotAt = Snapshot.At;
  return Verdict;
}

bool config_replica::adopt(config_state Newer) {
  if (Newer.Next <= State.Next || Newer.Accepted < State.Accepted)
    return false;
  const std::vector<config_file> Files = filesOf(Newer);
  parsed_configuration Parsed = parseConfiguration(Files, Newer.Accepted);
  if (!Parsed.Config)
    return false;
  State = std::move(Newer);
  Config = std::move(Parsed.Config);
  Tables.reset(Files);
  return true;
}

} // namespace clementinelane
