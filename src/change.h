#pragma once

#include "clementinelane/error.h"
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

/// The stream of the log that holds the configuration.
constexpr std::string_view ConfigStream = "config";

/// One change of configuration, as it stands in the log.
struct change_record {
  std::uint32_t Schema = 0;
  std::string Id; ///< unique; finds the record after a lost append answer
  std::string Author;
  std::map<std::string, std::string> Upserts; ///< file name to text
  std::vector<std::string> Deletes;
  /// For every file touched, the offset of the change it was based on; 0 for
  /// a file that did not exist.
  std::map<std::string, std::uint64_t> Bases;
  MSGPACK_DEFINE_MAP(Schema, Id, Author, Upserts, Deletes, Bases)
};

std::string encodeChange(const change_record &Change);
result<change_record> decodeChange(std::string_view Bytes);

/// One file as the log has it.
struct stored_file {
  std::string Text;
  std::uint64_t Offset = 0; ///< of the change that wrote it
  MSGPACK_DEFINE_MAP(Text, Offset)
};

/// The folder at one offset; what control hands to entry and to peers.
struct config_state {
  std::uint64_t Next = 0;     ///< offset of the next record to apply
  std::uint64_t Accepted = 0; ///< offset of the last accepted change, plus one
  std::map<std::string, stored_file> Files;
  MSGPACK_DEFINE_MAP(Next, Accepted, Files)
};

std::string encodeState(const config_state &State);
result<config_state> decodeState(std::string_view Bytes);
std::vector<config_file> filesOf(const config_state &State);

/// What became of one record.
struct change_verdict {
  std::uint64_t Offset = 0;
  std::string Id;
  std::error_code Error; ///< none: accepted
  std::string Detail;    ///< names the file, or the first mistake
};

/// Folds the records of the configuration stream into the state in force.
/// Every process computes the same verdicts, since they depend only on the
/// records and their order.
class config_replica {
public:
  /// Judges the record at `Offset`, which must be state().Next.
  change_verdict apply(std::uint64_t Offset, std::string_view Bytes);
  /// Takes `Newer` if it is further on; never goes back.
  bool adopt(config_state Newer);

  const config_state &state() const { return State; }
  const configuration_ptr &config() const { return Config; }

private:
  change_verdict judge(std::uint64_t Offset, std::string_view Bytes);

  config_state State;
  configuration_ptr Config = std::make_shared<configuration>();
};

} // namespace clementinelane
