#include "settings.h"

#include <cstdlib>

namespace clementinelane {

namespace {

constexpr std::uint64_t MaxPort = 65535;
constexpr std::uint64_t MaxMegabytes = 1U << 24U;
constexpr std::uint64_t MaxDescriptors = 1U << 30U;
constexpr std::uint64_t MaxRetentionRecords = 1'000'000'000;
constexpr std::uint64_t MaxRetentionHours = 24 * 365;
constexpr std::size_t Sha256HexBytes = 64;
constexpr std::size_t MinSecretBytes = 16;

/// Resolves relative paths of secrets against CLEMENTINE_SECRETS if it is set,
/// so that one settings file works on platforms that store secrets elsewhere.
std::string secretPath(const std::string &Path) {
  const char *Folder = std::getenv("CLEMENTINE_SECRETS");
  if (!Folder || *Folder == '\0' || Path.empty() || Path.front() == '/')
    return Path;
  return std::string(Folder) + "/" + Path;
}

bool isLoopback(std::string_view Address) {
  return Address.substr(0, 4) == "127." || Address == "::1";
}

void readKeys(const toml::table &Table, const std::string &Path, settings &Out,
              std::vector<file_error> &Errors) {
  section_reader Reader(Table, Path, Errors);
  std::vector<std::string> Pairs;
  Reader.texts("session", Pairs)
      .text("operator_key_sha256", Out.OperatorKeySha256)
      .finish();
  if (!Out.OperatorKeySha256.empty() &&
      Out.OperatorKeySha256.size() != Sha256HexBytes)
    Reader.report("operator_key_sha256", "must be a SHA-256 sum in hex");
  for (const std::string &Pair : Pairs) {
    const auto Colon = Pair.find(':');
    std::string Secret;
    if (Colon == std::string::npos ||
        !readFile(secretPath(Pair.substr(Colon + 1)), Secret)) {
      Reader.report("session", "must be a list of \"id:readable file\"");
      continue;
    }
    if (Secret.size() < MinSecretBytes)
      Reader.report("session", "a key must have at least 16 bytes");
    Out.SessionKeys.push_back({Pair.substr(0, Colon), std::move(Secret)});
  }
}

} // namespace

parsed_settings parseSettings(std::string_view File, std::string_view Text) {
  parsed_settings Parsed;
  settings &Out = Parsed.Value;
  std::vector<file_error> &Errors = Parsed.Errors;
  const toml::table Root = parseToml(File, Text, Errors);
  if (!Errors.empty())
    return Parsed;
  section_reader Reader(Root, "", Errors);
  Reader
      .table("vm",
             [&](const toml::table &Table, const std::string &Path) {
               section_reader(Table, Path, Errors)
                   .text("name", Out.VmName, true)
                   .text("data_centre", Out.DataCentre, true)
                   .text("region", Out.Region, true)
                   .text("address", Out.Address, true)
                   .integer("memory_limit_mb", Out.MemoryMegabytes, 1,
                            MaxMegabytes)
                   .integer("file_descriptors", Out.FileDescriptors, 64,
                            MaxDescriptors)
                   .finish();
             })
      .table("entry",
             [&](const toml::table &Table, const std::string &Path) {
               section_reader(Table, Path, Errors)
                   .integer("port", Out.EntryPort, 1, MaxPort)
                   .integer("link_port", Out.EntryLinkPort, 1, MaxPort)
                   .integer("threads", Out.Threads, 2, 256)
                   .finish();
             })
      .table("control",
             [&](const toml::table &Table, const std::string &Path) {
               section_reader(Table, Path, Errors)
                   .integer("link_port", Out.LinkPort, 1, MaxPort)
                   .integer("operator_port", Out.OperatorPort, 1, MaxPort)
                   .texts("seeds", Out.Seeds)
                   .finish();
             })
      .table("platform",
             [&](const toml::table &Table, const std::string &Path) {
               section_reader(Table, Path, Errors)
                   .text("log", Out.LogAddress, true)
                   .integer("log_retention_records", Out.LogRetentionRecords, 3,
                            MaxRetentionRecords)
                   .integer("log_retention_hours", Out.LogRetentionHours, 1,
                            MaxRetentionHours)
                   .text("vm_list", Out.VmListAddress)
                   .text("rater", Out.RaterAddress)
                   .finish();
             })
      .table("keys",
             [&](const toml::table &Table, const std::string &Path) {
               readKeys(Table, Path, Out, Errors);
             })
      .table("logs",
             [&](const toml::table &Table, const std::string &Path) {
               section_reader Logs(Table, Path, Errors);
               Logs.text("format", Out.LogFormat).finish();
               if (Out.LogFormat != "keyvalue" && Out.LogFormat != "json")
                 Logs.report("format", "must be keyvalue or json");
             })
      .finish();
  // Without a key, an operator port reachable from other machines would let
  // anyone read customers' plans and drain endpoints.
  if (!Out.Address.empty() && !isLoopback(Out.Address) &&
      Out.OperatorKeySha256.empty())
    Errors.push_back({std::string(File), 0, "keys.operator_key_sha256",
                      "is required where vm.address is not loopback"});
  const auto CheckAddress = [&](const std::string &Address, const char *Key) {
    if (!Address.empty() && Address.find(':') == std::string::npos)
      Errors.push_back(
          {std::string(File), 0, Key, "must be an IP number and a port"});
  };
  CheckAddress(Out.LogAddress, "platform.log");
  CheckAddress(Out.RaterAddress, "platform.rater");
  if (Errors.empty() && (Out.VmName.empty() || Out.LogAddress.empty()))
    Errors.push_back({std::string(File), 0, "",
                      "the tables [vm] and [platform] are required"});
  return Parsed;
}

parsed_settings loadSettings(const std::string &Path) {
  std::string Text;
  if (!readFile(Path, Text))
    return {{}, {{Path, 0, "", "cannot be read"}}};
  return parseSettings(Path, Text);
}

} // namespace clementinelane
