#pragma once

#include "change.h"
#include "log_client.h"
#include "operator_client.h"

#include <cpprest/json.h>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane::ctl {

/// Exit status of every command.
enum exit_status : int {
  ExitDone = 0,
  ExitRefused = 1,     ///< not accepted, not valid, or not found
  ExitUsage = 2,       ///< invalid arguments
  ExitUnreachable = 3, ///< control or the log does not respond
  ExitUnknown = 4,     ///< may have taken effect; the query command is printed
  ExitPartial = 5,     ///< accepted, but not yet reported by every member
  ExitKey = 6          ///< the operator key is missing or wrong
};

using arguments = std::span<const std::string>;

/// A subcommand of clementinectl.
struct command {
  std::string_view Name;
  std::size_t MinArgs;
  std::size_t MaxArgs;
  int (*Run)(arguments);
  std::string_view Help;
};

std::span<const command> publishCommands();
std::span<const command> rolloutCommands();
std::span<const command> queryCommands();
std::span<const command> logCommands();

/// Prints `Message` to standard error and returns `Status`.
int fail(int Status, std::string_view Message);
/// Reports a failed call to control: unreachable, or operator key rejected.
int failCall(const std::error_code &Error);

operator_client makeClient();
http_append_log makeLog();
bool wantsJson();
std::chrono::milliseconds waitTimeout();

/// Prints `Rows` as JSON, or each row as a line of `key=value` for `Keys`.
void printRows(const web::json::value &Rows,
               std::span<const std::string_view> Keys);

/// The configuration files that control holds, and their parsed form.
struct remote_configuration {
  remote_folder Folder;
  configuration_ptr Config;
};
result<remote_configuration> fetchConfiguration();

/// Appends the change that turns control's files into `Local` and reports its
/// verdict. The change is also conditional on `ReadFiles` being unmodified.
int publishFiles(const remote_folder &Remote,
                 const std::vector<config_file> &Local, bool IsWhole,
                 std::span<const std::string> ReadFiles = {});

} // namespace clementinelane::ctl
