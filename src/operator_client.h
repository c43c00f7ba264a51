#pragma once

#include "change.h"
#include "clementinelane/error.h"
#include "configuration.h"
#include "log_client.h"

#include <chrono>
#include <cpprest/json.h>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// The folder as control has it.
struct remote_folder {
  std::map<std::string, stored_file> Files;
  std::uint64_t Next = 0;
  std::uint64_t Offset = 0;
};

/// Reads the *.toml files of `Folder`.
result<std::vector<config_file>> readFolder(const std::string &Folder);

/// What must be appended to turn `Remote` into `Local`; `IsWhole` also deletes
/// what is not in `Local`.
change_record makeChange(const remote_folder &Remote,
                         const std::vector<config_file> &Local, bool IsWhole);

/// An operator's calls to one control process.
class operator_client {
public:
  explicit operator_client(std::string_view Address);

  result<web::json::value> get(std::string_view Path) const;
  result<remote_folder> files() const;

private:
  std::string Base;
};

/// How a publish ended.
struct publish_result {
  std::error_code Error;
  std::string Detail;
  std::string Id;
  std::uint64_t Offset = 0;
};

/// Appends `Change` once and reads on until its verdict is known.
publish_result publishChange(append_log &Log, const change_record &Change,
                             std::uint64_t KnownNext,
                             const operator_client &Control,
                             std::chrono::milliseconds Patience);

} // namespace clementinelane
