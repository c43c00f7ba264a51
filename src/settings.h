#pragma once

#include "text_file.h"
#include "toml_reader.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// A session token key shared by the VMs. The first key of the list signs; all
/// keys verify.
struct session_key {
  std::string Id;
  std::string Secret; ///< never logged
};

/// The settings of a daemon, from its settings file.
struct settings {
  std::string VmName;
  std::string DataCentre;
  std::string Region;
  std::string Address;                  ///< IP address of this VM
  std::uint64_t MemoryMegabytes = 128;  ///< of each daemon, 2^20 bytes each
  std::uint64_t FileDescriptors = 1024; ///< of each daemon
  std::uint64_t EntryPort = 8080;
  std::uint64_t EntryLinkPort = 8090; ///< entry to entry
  std::uint64_t LinkPort = 9090;      ///< control to control, entry to control
  std::uint64_t OperatorPort = 9091;
  std::uint64_t Threads = 8;
  std::string LogAddress; ///< IP address and port of the log service
  /// Minimum retention of the log; snapshots are written three times per
  /// retention period.
  std::uint64_t LogRetentionRecords = 100'000;
  std::uint64_t LogRetentionHours = 168;
  std::string VmListAddress;      ///< of the platform's VM list; may be empty
  std::string RaterAddress;       ///< of the rating service; may be empty
  std::vector<std::string> Seeds; ///< link addresses of other VMs
  std::vector<session_key> SessionKeys;
  std::string OperatorKeySha256;      ///< required unless Address is loopback
  std::string LogFormat = "keyvalue"; ///< or "json"
};

struct parsed_settings {
  settings Value;
  std::vector<file_error> Errors;
};

/// Parses `Text`, the content of `File`, and checks every key.
parsed_settings parseSettings(std::string_view File, std::string_view Text);

/// Reads the settings file at `Path` and the session key files that it names.
parsed_settings loadSettings(const std::string &Path);

} // namespace clementinelane
