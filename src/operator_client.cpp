#include "operator_client.h"

#include "config.h"
#include "request.h"
#include "rollout_steps.h"
#include "settings.h"

#include <algorithm>
#include <cpprest/http_client.h>
#include <filesystem>
#include <thread>

namespace clementinelane {

namespace {

constexpr auto VerdictPollInterval = std::chrono::milliseconds(50);

/// Offset of the change `Id` in the log, searched from `From` on.
result<std::optional<std::uint64_t>>
findRecord(append_log &Log, std::uint64_t From, std::string_view Id) {
  for (;;) {
    const auto Batch =
        Log.read(ConfigStream, From, std::chrono::milliseconds(0));
    if (!Batch)
      return Batch.error();
    for (const log_record &Record : Batch.value().Records) {
      From = Record.Offset + 1;
      const auto Change = decodeChange(Record.Bytes);
      if (Change && Change.value().Id == Id)
        return std::optional(Record.Offset);
    }
    if (Batch.value().Records.empty())
      return std::optional<std::uint64_t>();
  }
}

} // namespace

result<std::vector<config_file>> readFolder(const std::string &Folder) {
  std::error_code Error;
  std::filesystem::directory_iterator Entries(Folder, Error);
  if (Error)
    return error_kind::ConfigInvalid;
  std::vector<config_file> Files;
  for (const auto &Entry : Entries) {
    if (Entry.path().extension() != ".toml")
      continue;
    config_file File{Entry.path().filename().string(), ""};
    std::string Text;
    if (!readFile(Entry.path().string(), Text))
      return error_kind::ConfigInvalid;
    File.Text = std::move(Text);
    Files.push_back(std::move(File));
  }
  std::sort(Files.begin(), Files.end(),
            [](const auto &A, const auto &B) { return A.Name < B.Name; });
  return Files;
}

change_record makeChange(const remote_folder &Remote,
                         const std::vector<config_file> &Local,
                         bool DeleteMissing) {
  change_record Change;
  Change.Schema = config::ConfigSchema;
  Change.Id = makeRequestId();
  for (const config_file &File : Local) {
    const auto Known = Remote.Files.find(File.Name);
    if (Known != Remote.Files.end() && Known->second.Text == File.Text)
      continue;
    Change.Upserts[File.Name] = File.Text;
    Change.Bases[File.Name] =
        Known == Remote.Files.end() ? 0 : Known->second.Offset;
  }
  if (!DeleteMissing)
    return Change;
  for (const auto &[Name, File] : Remote.Files) {
    const bool IsKept = std::any_of(
        Local.begin(), Local.end(),
        [&, Name = Name](const auto &Each) { return Each.Name == Name; });
    // Guard: `withdraw` writes a file that the operator's folder lacks, and
    // deleting it in a later publish would reactivate the version.
    if (IsKept || isCommandFile(Name))
      continue;
    Change.Deletes.push_back(Name);
    Change.Bases[Name] = File.Offset;
  }
  return Change;
}

operator_client::operator_client(std::string_view Address, std::string Key)
    : BaseUrl("http://" + std::string(Address)), Key(std::move(Key)) {}

result<web::json::value>
operator_client::request(const web::http::method &Method,
                         std::string_view Path) const {
  try {
    web::http::client::http_client_config Config;
    Config.set_timeout(config::OperatorCallTimeout);
    web::http::client::http_client Client(BaseUrl, Config);
    web::http::http_request Request(Method);
    Request.set_request_uri(std::string(Path));
    if (!Key.empty())
      Request.headers().add("Authorization", "Bearer " + Key);
    const auto Response = Client.request(Request).get();
    if (Response.status_code() == web::http::status_codes::Unauthorized)
      return error_kind::KeyWrong;
    if (Response.status_code() != web::http::status_codes::OK)
      return error_kind::PeerUnavailable;
    return Response.extract_json().get();
  } catch (const std::exception &) {
    return error_kind::PeerUnavailable;
  }
}

result<web::json::value> operator_client::get(std::string_view Path) const {
  return request(web::http::methods::GET, Path);
}

result<web::json::value> operator_client::post(std::string_view Path) const {
  return request(web::http::methods::POST, Path);
}

result<remote_folder> operator_client::files() const {
  const auto Body = get("/v1/files");
  if (!Body)
    return Body.error();
  remote_folder Folder;
  Folder.Next = Body.value().at("next").as_number().to_uint64();
  Folder.Offset = Body.value().at("offset").as_number().to_uint64();
  for (const auto &[Name, Item] : Body.value().at("files").as_object())
    Folder.Files[Name] = {Item.at("text").as_string(),
                          Item.at("offset").as_number().to_uint64()};
  return Folder;
}

namespace {

/// The verdict that control reports; nullopt while it has none.
std::optional<publish_result> readVerdict(const operator_client &Control,
                                          const std::string &Id) {
  const auto Verdict = Control.get("/v1/verdicts/" + Id);
  if (!Verdict || !Verdict.value().at("known").as_bool())
    return std::nullopt;
  publish_result Result;
  Result.Id = Id;
  Result.Offset = Verdict.value().at("offset").as_number().to_uint64() + 1;
  if (Verdict.value().at("accepted").as_bool())
    return Result;
  const std::string Kind = Verdict.value().at("error").as_string();
  Result.Error = Kind == answerOf(error_kind::ConfigConflict).Name
                     ? error_kind::ConfigConflict
                     : error_kind::ConfigInvalid;
  Result.Detail = Verdict.value().at("detail").as_string();
  return Result;
}

} // namespace

publish_result waitForVerdict(append_log &Log, const std::string &Id,
                              std::uint64_t From,
                              const operator_client &Control,
                              std::chrono::milliseconds Timeout) {
  publish_result Result;
  Result.Id = Id;
  Result.Error = error_kind::OutcomeUnknown;
  Result.Detail = "the log does not answer";
  const auto Deadline = std::chrono::steady_clock::now() + Timeout;
  do {
    if (auto Verdict = readVerdict(Control, Id))
      return *Verdict;
    if (const auto Found = findRecord(Log, From, Id))
      Result.Detail = Found.value() ? "is in the log, not yet evaluated"
                                    : "is not in the log so far";
    std::this_thread::sleep_for(VerdictPollInterval);
  } while (std::chrono::steady_clock::now() < Deadline);
  return Result;
}

// Guard: the append's response may be lost before or after it took effect, and
// an operator who then publishes again would conflict with the first change. So
// the record is appended once, whatever the response, and its verdict is looked
// up by its unique id. Without a verdict the outcome is unknown, never "not
// done", since the append may still take effect.
publish_result publishChange(append_log &Log, const change_record &Change,
                             std::uint64_t KnownNext,
                             const operator_client &Control,
                             std::chrono::milliseconds Timeout) {
  const auto Offset = Log.append(ConfigStream, encodeChange(Change));
  return waitForVerdict(Log, Change.Id, Offset ? Offset.value() : KnownNext,
                        Control, Timeout);
}

} // namespace clementinelane
