#include "command.h"

#include "settings.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

namespace {

/// The value of an environment variable, or `Otherwise`.
const char *fromEnvironment(const char *Name, const char *Fallback) {
  const char *Value = std::getenv(Name);
  return Value && *Value != '\0' ? Value : Fallback;
}

} // namespace

DEFINE_string(control, fromEnvironment("CLEMENTINE_CONTROL", "127.0.0.1:9091"),
              "operator address of a control (CLEMENTINE_CONTROL)");
DEFINE_string(log, fromEnvironment("CLEMENTINE_LOG", "127.0.0.1:7000"),
              "address of the log service (CLEMENTINE_LOG)");
DEFINE_string(key_file, fromEnvironment("CLEMENTINE_OPERATOR_KEY_FILE", ""),
              "file with the operator key (CLEMENTINE_OPERATOR_KEY_FILE)");
DEFINE_bool(json, false, "print JSON");
DEFINE_uint64(patience_ms, 8000, "how long to wait for a verdict or members");

namespace clementinelane::ctl {

int fail(int Status, std::string_view Message) {
  std::cerr << "clementinectl: " << Message << '\n';
  return Status;
}

int failCall(const std::error_code &Error) {
  if (Error == error_kind::KeyWrong)
    return fail(ExitKey, "control refuses the operator key; see --key_file");
  return fail(ExitUnreachable, "control does not answer at " + FLAGS_control);
}

operator_client makeClient() {
  std::string Key;
  if (!FLAGS_key_file.empty())
    readFile(FLAGS_key_file, Key);
  Key.erase(Key.find_last_not_of(" \r\n\t") + 1);
  return operator_client(FLAGS_control, std::move(Key));
}

http_append_log makeLog() { return http_append_log(FLAGS_log); }
bool wantsJson() { return FLAGS_json; }
std::chrono::milliseconds waitTimeout() {
  return std::chrono::milliseconds(FLAGS_patience_ms);
}

namespace {

/// Formats a cell for people: strings unquoted, doubles in short decimal form.
std::string plainText(const web::json::value &Cell) {
  if (Cell.is_string())
    return Cell.as_string();
  if (!Cell.is_double())
    return Cell.serialize();
  std::ostringstream Text;
  Text << Cell.as_double();
  return Text.str();
}

} // namespace

void printRows(const web::json::value &Rows,
               std::span<const std::string_view> Keys) {
  if (FLAGS_json) {
    std::cout << Rows.serialize() << '\n';
    return;
  }
  for (const web::json::value &Row : Rows.as_array()) {
    std::string Line;
    for (const std::string_view Key : Keys) {
      const web::json::value &Cell = Row.at(std::string(Key));
      Line += std::string(Key) + "=" + plainText(Cell) + " ";
    }
    Line.pop_back();
    std::cout << Line << '\n';
  }
}

result<remote_configuration> fetchConfiguration() {
  auto Folder = makeClient().files();
  if (!Folder)
    return Folder.error();
  config_state State;
  State.Files = Folder.value().Files;
  const auto Parsed = parseConfiguration(filesOf(State), Folder.value().Offset);
  if (!Parsed.Config)
    return error_kind::PeerIncompatible;
  return remote_configuration{std::move(Folder).value(), Parsed.Config};
}

} // namespace clementinelane::ctl

namespace {

namespace ctl = clementinelane::ctl;

std::array<std::span<const ctl::command>, 4> commandGroups() {
  return {ctl::publishCommands(), ctl::rolloutCommands(), ctl::queryCommands(),
          ctl::logCommands()};
}

const ctl::command *findCommand(std::string_view Name) {
  for (const auto Group : commandGroups())
    for (const ctl::command &Each : Group)
      if (Each.Name == Name)
        return &Each;
  return nullptr;
}

/// The help page: purpose, commands and the program's own flags.
std::string helpText() {
  std::string Text =
      "publishes configurations, drives roll-outs and tells what "
      "the fleet does\n\n  clementinectl COMMAND [flags]\n\n";
  for (const auto Group : commandGroups())
    for (const ctl::command &Each : Group)
      Text += "  " + std::string(Each.Help) + "\n";
  Text +=
      "  help [COMMAND]                 this page, or one command\n\nflags\n";
  std::vector<gflags::CommandLineFlagInfo> Flags;
  gflags::GetAllFlags(&Flags);
  for (const gflags::CommandLineFlagInfo &Flag : Flags)
    if (Flag.filename ==
        gflags::GetCommandLineFlagInfoOrDie("control").filename)
      Text += "  --" + Flag.name + "  " + Flag.description + "; now " +
              Flag.current_value + "\n";
  return Text;
}

int usage() {
  std::cerr << helpText();
  return ctl::ExitUsage;
}

int help(ctl::arguments Words) {
  if (Words.empty()) {
    std::cout << helpText();
    return ctl::ExitDone;
  }
  const ctl::command *Command = findCommand(Words[0]);
  if (!Command)
    return ctl::fail(ctl::ExitUsage, "no command " + Words[0]);
  std::cout << "clementinectl " << Command->Help << '\n';
  return ctl::ExitDone;
}

/// True if "--help" or "-h" occurs anywhere; checked before gflags parses the
/// command line and handles "--help" itself.
bool hasHelpFlag(const std::vector<std::string> &Words) {
  return std::any_of(Words.begin(), Words.end(), [](const std::string &Word) {
    return Word == "--help" || Word == "-h";
  });
}

} // namespace

int main(int ArgCount, char **Args) {
  const std::vector<std::string> RawArgs(Args + 1, Args + ArgCount);
  if (hasHelpFlag(RawArgs))
    return help(findCommand(RawArgs[0]) ? ctl::arguments(RawArgs).first(1)
                                        : ctl::arguments{});
  gflags::SetVersionString("0.2");
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  const std::vector<std::string> Words(Args + 1, Args + ArgCount);
  if (Words.empty())
    return usage();
  if (Words[0] == "help")
    return help(ctl::arguments(Words).subspan(1));
  const ctl::command *Command = findCommand(Words[0]);
  const std::size_t Count = Words.size() - 1;
  if (!Command || Count < Command->MinArgs || Count > Command->MaxArgs)
    return usage();
  return Command->Run(ctl::arguments(Words).subspan(1));
}
