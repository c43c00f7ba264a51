#include "command.h"

#include "rollout_steps.h"

#include <algorithm>
#include <array>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DECLARE_string(control);
DECLARE_string(log);
DEFINE_bool(wait, false, "publish: wait until every member has the change");

namespace clementinelane::ctl {

namespace {

constexpr auto MemberPollInterval = std::chrono::milliseconds(200);

/// Prints every validation error of `Files`; true if there are none.
bool checkFiles(std::span<const config_file> Files) {
  const auto Parsed = parseConfiguration(Files, 0);
  for (const file_error &Error : Parsed.Errors)
    std::cerr << formatError(Error) << '\n';
  return Parsed.Config != nullptr;
}

int check(arguments Args) {
  const auto Files = readFolder(Args[0]);
  if (!Files)
    return fail(ExitUsage, Args[0] + " cannot be read");
  if (!checkFiles(Files.value()))
    return ExitRefused;
  std::cout << "ok: " << Files.value().size() << " files\n";
  return ExitDone;
}

/// Lists the members that have not reported `Offset`; empty if all have.
result<std::vector<std::string>> membersBehind(std::uint64_t Offset) {
  const auto Body = makeClient().get("/v1/offsets");
  if (!Body)
    return Body.error();
  std::vector<std::string> Names;
  for (const auto &Member : Body.value().at("members").as_array()) {
    const std::string Name = Member.at("vm").as_string().empty()
                                 ? Member.at("address").as_string()
                                 : Member.at("vm").as_string();
    if (!Member.at("reachable").as_bool())
      Names.push_back(Name + " (cannot be reached)");
    else if (Member.at("offset").as_number().to_uint64() < Offset)
      Names.push_back(Name + " (has " + Member.at("offset").serialize() + ")");
  }
  return Names;
}

int waitForMembers(std::uint64_t Offset) {
  const auto Deadline = std::chrono::steady_clock::now() + waitTimeout();
  for (;;) {
    const auto Names = membersBehind(Offset);
    if (Names && Names.value().empty()) {
      std::cout << "in force at every member, offset=" << Offset << '\n';
      return ExitDone;
    }
    if (std::chrono::steady_clock::now() < Deadline) {
      std::this_thread::sleep_for(MemberPollInterval);
      continue;
    }
    if (!Names)
      return failCall(Names.error());
    for (const std::string &Name : Names.value())
      std::cerr << "not yet: " << Name << '\n';
    return fail(ExitPartial, "accepted, but not in force at every member");
  }
}

int report(const publish_result &Result, std::uint64_t From) {
  if (!Result.Error) {
    std::cout << "accepted offset=" << Result.Offset << " id=" << Result.Id
              << '\n';
    return FLAGS_wait ? waitForMembers(Result.Offset) : int(ExitDone);
  }
  const std::string Text =
      Result.Error.message() + " " + Result.Detail + " id=" + Result.Id;
  if (kindOf(Result.Error) != error_kind::OutcomeUnknown)
    return fail(ExitRefused, Text);
  return fail(ExitUnknown,
              "outcome unknown (" + Result.Detail +
                  "); the change may still take effect. Ask again with:\n"
                  "  clementinectl verdict " +
                  Result.Id + " " + std::to_string(From) +
                  " --control=" + FLAGS_control + " --log=" + FLAGS_log);
}

int verdict(arguments Args) {
  http_append_log Log = makeLog();
  const std::uint64_t From = std::strtoull(Args[1].c_str(), nullptr, 10);
  return report(waitForVerdict(Log, Args[0], From, makeClient(), waitTimeout()),
                From);
}

int publish(arguments Args) {
  const auto Files = readFolder(Args[0]);
  if (!Files)
    return fail(ExitUsage, Args[0] + " cannot be read");
  if (!checkFiles(Files.value()))
    return ExitRefused;
  const auto Remote = makeClient().files();
  if (!Remote)
    return failCall(Remote.error());
  return publishFiles(Remote.value(), Files.value(), true);
}

int diff(arguments Args) {
  const auto Files = readFolder(Args[0]);
  if (!Files)
    return fail(ExitUsage, Args[0] + " cannot be read");
  const auto Remote = makeClient().files();
  if (!Remote)
    return failCall(Remote.error());
  const change_record Change = makeChange(Remote.value(), Files.value(), true);
  auto Rows = web::json::value::array();
  const auto Add = [&](const std::string &Name, const char *What) {
    auto Row = web::json::value::object();
    Row["file"] = web::json::value::string(Name);
    Row["change"] = web::json::value::string(What);
    Rows[Rows.size()] = Row;
  };
  for (const auto &[Name, Text] : Change.Upserts)
    Add(Name, Remote.value().Files.contains(Name) ? "changed" : "added");
  for (const std::string &Name : Change.Deletes)
    Add(Name, "deleted");
  for (const auto &[Name, File] : Remote.value().Files)
    if (isCommandFile(Name) && !Change.Upserts.contains(Name))
      Add(Name, "kept");
  constexpr std::array<std::string_view, 2> Keys{"change", "file"};
  printRows(Rows, Keys);
  return ExitDone;
}

constexpr std::array<command, 4> Commands{{
    {"check", 1, 1, &check,
     "check DIR                 every mistake of a folder"},
    {"diff", 1, 1, &diff,
     "diff DIR                  what publish would change"},
    {"publish", 1, 1, &publish,
     "publish DIR [--wait]      make the folder the configuration"},
    {"verdict", 2, 2, &verdict,
     "verdict ID OFFSET         what became of a change"},
}};

} // namespace

std::span<const command> publishCommands() { return Commands; }

int publishFiles(const remote_folder &Remote,
                 const std::vector<config_file> &Local, bool IsWhole,
                 std::span<const std::string> ReadFiles) {
  change_record Change = makeChange(Remote, Local, IsWhole);
  if (Change.Bases.empty()) {
    std::cout << "nothing to publish, offset=" << Remote.Offset << '\n';
    return FLAGS_wait ? waitForMembers(Remote.Offset) : int(ExitDone);
  }
  for (const std::string &Name : ReadFiles)
    if (const auto File = Remote.Files.find(Name); File != Remote.Files.end())
      Change.Bases[Name] = File->second.Offset;
  http_append_log Log = makeLog();
  return report(
      publishChange(Log, Change, Remote.Next, makeClient(), waitTimeout()),
      Remote.Next);
}

} // namespace clementinelane::ctl
