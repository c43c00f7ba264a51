#pragma once

#include "change.h"
#include "clementinelane/error.h"
#include "configuration.h"
#include "log_client.h"

#include <chrono>
#include <cpprest/http_msg.h>
#include <cpprest/json.h>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// The configuration folder in force at a control process.
struct remote_folder {
  std::map<std::string, stored_file> Files;
  std::uint64_t Next = 0;
  std::uint64_t Offset = 0;
};

/// Reads the *.toml files of `Folder`.
result<std::vector<config_file>> readFolder(const std::string &Folder);

/// The change that updates `Remote` to `Local`. With `DeleteMissing` it also
/// deletes files that are not in `Local`, except step files of roll-outs.
change_record makeChange(const remote_folder &Remote,
                         const std::vector<config_file> &Local,
                         bool DeleteMissing);

/// HTTP client for the operator API of one control process.
class operator_client {
public:
  /// `Key` is sent with each call; empty if control requires none.
  explicit operator_client(std::string_view Address, std::string Key = "");

  /// KeyWrong if control rejects the key.
  result<web::json::value> get(std::string_view Path) const;
  result<web::json::value> post(std::string_view Path) const;
  result<remote_folder> files() const;

private:
  result<web::json::value> request(const web::http::method &Method,
                                   std::string_view Path) const;

  std::string BaseUrl;
  std::string Key;
};

/// Outcome of a publish.
struct publish_result {
  std::error_code Error;
  std::string Detail;
  std::string Id;
  std::uint64_t Offset = 0;
};

/// Appends `Change` once and waits until its verdict is known.
publish_result publishChange(append_log &Log, const change_record &Change,
                             std::uint64_t KnownNext,
                             const operator_client &Control,
                             std::chrono::milliseconds Timeout);

/// Waits for the verdict on the change `Id`, appended at `From` or later if at
/// all. OutcomeUnknown if control has no verdict within `Timeout`.
publish_result waitForVerdict(append_log &Log, const std::string &Id,
                              std::uint64_t From,
                              const operator_client &Control,
                              std::chrono::milliseconds Timeout);

} // namespace clementinelane
