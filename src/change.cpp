#include "change.h"

#include "config.h"

namespace clementinelane {

namespace {

template <typename T> std::string pack(const T &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return {Buffer.data(), Buffer.size()};
}

template <typename T> result<T> unpack(std::string_view Bytes) {
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size());
    return Handle.get().as<T>();
  } catch (const std::exception &) {
    return error_kind::RecordCorrupt;
  }
}

/// Whether every file that `Change` touches is as its author saw it. Names
/// the first that is not.
std::optional<std::string> findConflict(const config_state &State,
                                        const change_record &Change) {
  const auto IsStale = [&](const std::string &Name) {
    const auto File = State.Files.find(Name);
    const std::uint64_t Current =
        File == State.Files.end() ? 0 : File->second.Offset;
    const auto Base = Change.Bases.find(Name);
    return Base == Change.Bases.end() || Base->second != Current;
  };
  for (const auto &[Name, Text] : Change.Upserts)
    if (IsStale(Name))
      return Name;
  for (const std::string &Name : Change.Deletes)
    if (IsStale(Name))
      return Name;
  return std::nullopt;
}

} // namespace

std::string encodeChange(const change_record &Change) { return pack(Change); }

result<change_record> decodeChange(std::string_view Bytes) {
  return unpack<change_record>(Bytes);
}

std::string encodeState(const config_state &State) { return pack(State); }

result<config_state> decodeState(std::string_view Bytes) {
  return unpack<config_state>(Bytes);
}

std::vector<config_file> filesOf(const config_state &State) {
  std::vector<config_file> Files;
  for (const auto &[Name, File] : State.Files)
    Files.push_back({Name, File.Text});
  return Files;
}

change_verdict config_replica::apply(std::uint64_t Offset,
                                     std::string_view Bytes) {
  // Guard: a reader that skipped or repeated a record would judge later ones
  // against another folder than its peers. It shows as diverging verdicts;
  // this holds because each record is judged only at its own offset.
  if (Offset != State.Next)
    return {Offset, "", error_kind::RecordCorrupt, "out of order"};
  change_verdict Verdict = judge(Offset, Bytes);
  // A record of a newer schema may be accepted by newer readers, so an old
  // reader must not judge anything from there on.
  if (Verdict.Error != error_kind::SchemaTooNew)
    State.Next = Offset + 1;
  return Verdict;
}

change_verdict config_replica::judge(std::uint64_t Offset,
                                     std::string_view Bytes) {
  if (Bytes.size() > config::MaxChangeBytes)
    return {Offset, "", error_kind::RecordCorrupt, "too large"};
  const result<change_record> Decoded = decodeChange(Bytes);
  if (!Decoded)
    return {Offset, "", Decoded.error(), "unreadable"};
  const change_record &Change = Decoded.value();
  if (Change.Schema > config::ConfigSchema)
    return {Offset, Change.Id, error_kind::SchemaTooNew,
            "schema " + std::to_string(Change.Schema)};
  if (const auto Conflict = findConflict(State, Change))
    return {Offset, Change.Id, error_kind::ConfigConflict, *Conflict};

  config_state Trial = State;
  Trial.Accepted = Offset + 1;
  for (const auto &[Name, Text] : Change.Upserts)
    Trial.Files[Name] = {Text, Offset + 1};
  for (const std::string &Name : Change.Deletes)
    Trial.Files.erase(Name);
  parsed_configuration Parsed =
      parseConfiguration(filesOf(Trial), Trial.Accepted);
  if (!Parsed.Config)
    return {Offset, Change.Id, error_kind::ConfigInvalid,
            formatError(Parsed.Errors.front())};
  State = std::move(Trial);
  Config = std::move(Parsed.Config);
  return {Offset, Change.Id, {}, ""};
}

bool config_replica::adopt(config_state Newer) {
  if (Newer.Next <= State.Next)
    return false;
  parsed_configuration Parsed =
      parseConfiguration(filesOf(Newer), Newer.Accepted);
  if (!Parsed.Config)
    return false;
  State = std::move(Newer);
  Config = std::move(Parsed.Config);
  return true;
}

} // namespace clementinelane
