#include "log_client.h"
#include "operator_client.h"

#include <array>
#include <gflags/gflags.h>
#include <iostream>
#include <span>
#include <string>
#include <vector>

DEFINE_string(control, "127.0.0.1:9091", "operator address of a control");
DEFINE_string(log, "127.0.0.1:7000", "address of the log service");
DEFINE_bool(json, false, "print JSON");
DEFINE_uint64(patience_ms, 8000, "how long to wait for a verdict");

namespace cl = clementinelane;

namespace {

/// Exit statuses: 0 done, 1 not accepted or not valid, 2 wrong use, 3 a
/// service could not be reached, 4 outcome unknown.
constexpr int ExitRefused = 1;
constexpr int ExitUsage = 2;
constexpr int ExitUnreachable = 3;
constexpr int ExitUnknown = 4;

using arguments = std::span<const std::string>;

int fail(int Status, std::string_view Message) {
  std::cerr << "clementinectl: " << Message << '\n';
  return Status;
}

/// Prints every mistake of `Files`; true if there are none.
bool checkFiles(std::span<const cl::config_file> Files) {
  const auto Parsed = cl::parseConfiguration(Files, 0);
  for (const cl::file_error &Error : Parsed.Errors)
    std::cerr << cl::formatError(Error) << '\n';
  return Parsed.Config != nullptr;
}

int check(arguments Args) {
  const auto Files = cl::readFolder(Args[0]);
  if (!Files)
    return fail(ExitUsage, Args[0] + " cannot be read");
  if (!checkFiles(Files.value()))
    return ExitRefused;
  std::cout << "ok: " << Files.value().size() << " files\n";
  return 0;
}

int report(const cl::publish_result &Result) {
  if (!Result.Error) {
    std::cout << "accepted offset=" << Result.Offset << " id=" << Result.Id
              << '\n';
    return 0;
  }
  const std::string Text =
      Result.Error.message() + " " + Result.Detail + " id=" + Result.Id;
  const cl::error_kind Kind = cl::kindOf(Result.Error);
  if (Kind == cl::error_kind::OutcomeUnknown)
    return fail(ExitUnknown, Text + "; ask again with `status`");
  if (Kind == cl::error_kind::LogUnavailable)
    return fail(ExitUnreachable, Text);
  return fail(ExitRefused, Text);
}

int publishFiles(const std::vector<cl::config_file> &Local, bool IsWhole) {
  const cl::operator_client Control(FLAGS_control);
  const auto Remote = Control.files();
  if (!Remote)
    return fail(ExitUnreachable, "control does not answer at " + FLAGS_control);
  const cl::change_record Change =
      cl::makeChange(Remote.value(), Local, IsWhole);
  if (Change.Bases.empty()) {
    std::cout << "nothing to publish, offset=" << Remote.value().Offset << '\n';
    return 0;
  }
  cl::http_append_log Log(FLAGS_log);
  return report(
      cl::publishChange(Log, Change, Remote.value().Next, Control,
                        std::chrono::milliseconds(FLAGS_patience_ms)));
}

int publish(arguments Args) {
  const auto Files = cl::readFolder(Args[0]);
  if (!Files)
    return fail(ExitUsage, Args[0] + " cannot be read");
  if (!checkFiles(Files.value()))
    return ExitRefused;
  return publishFiles(Files.value(), true);
}

int withdraw(arguments Args) {
  // The name sorts last, so the file overrides all others.
  const std::string Name = "zz-state-" + Args[0] + ".toml";
  return publishFiles(
      {{Name, "[versions.\"" + Args[0] + "\"]\nstate = \"withdrawn\"\n"}},
      false);
}

int status(arguments) {
  const auto Body = cl::operator_client(FLAGS_control).get("/v1/status");
  if (!Body)
    return fail(ExitUnreachable, "control does not answer at " + FLAGS_control);
  if (FLAGS_json) {
    std::cout << Body.value().serialize() << '\n';
    return 0;
  }
  for (const auto &[Key, Value] : Body.value().as_object())
    std::cout << Key << " " << Value.serialize() << '\n';
  return 0;
}

struct command {
  std::string_view Name;
  std::size_t ArgCount;
  int (*Run)(arguments);
  std::string_view Help;
};

constexpr std::array<command, 4> Commands{{
    {"check", 1, &check, "check DIR       every mistake of a folder"},
    {"publish", 1, &publish,
     "publish DIR     make the folder the configuration"},
    {"withdraw", 1, &withdraw, "withdraw M@V    no more work for a version"},
    {"status", 0, &status, "status          what control knows"},
}};

int usage() {
  std::cerr << "usage: clementinectl COMMAND [flags]\n";
  for (const command &Each : Commands)
    std::cerr << "  " << Each.Help << '\n';
  return ExitUsage;
}

} // namespace

int main(int ArgCount, char **Args) {
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  const std::vector<std::string> Words(Args + 1, Args + ArgCount);
  if (Words.empty())
    return usage();
  for (const command &Each : Commands)
    if (Each.Name == Words[0] && Each.ArgCount == Words.size() - 1)
      return Each.Run(arguments(Words).subspan(1));
  return usage();
}
