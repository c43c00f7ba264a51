#include "configuration.h"

#include <algorithm>
#include <array>
#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <tuple>

namespace clementinelane {

namespace {

constexpr std::array<std::string_view, 3> StateNames{"active", "retiring",
                                                     "withdrawn"};

/// Builds one `configuration` from the merged tables.
class configuration_builder {
public:
  configuration_builder(configuration &Config, std::vector<file_error> &Errors)
      : Config(Config), Errors(Errors) {}

  void build(const toml::table &Root) {
    section_reader Reader(Root, "", Errors);
    for (const auto &[Key, Read, Erase] : Sections)
      Reader.tables(Key, [&, Read = Read](std::string_view Name,
                                          const toml::table &Table,
                                          const std::string &Path) {
        (this->*Read)(std::string(Name), Table, Path);
      });
    Reader.finish();
    checkReferences(Root);
  }

  void erase(const item_name &Item) {
    for (const section &Each : Sections)
      if (Each.Key == Item.Section)
        (this->*Each.Erase)(Item.Name);
  }

  static bool isSection(std::string_view Key) {
    return std::any_of(Sections.begin(), Sections.end(),
                       [&](const section &Each) { return Each.Key == Key; });
  }

private:
  using read_section = void (configuration_builder::*)(std::string,
                                                       const toml::table &,
                                                       const std::string &);
  struct section {
    std::string_view Key;
    read_section Read;
    void (configuration_builder::*Erase)(const std::string &);
  };
  static const std::array<section, 6> Sections;

  template <auto Items> void eraseFrom(const std::string &Name) {
    (Config.*Items).erase(Name);
  }

  void readVersion(std::string Name, const toml::table &Table,
                   const std::string &Path) {
    version_spec Spec;
    std::string State(StateNames.front());
    section_reader Reader(Table, Path, Errors);
    Reader.text("pool", Spec.Pool, true)
        .number("cost_per_1k_tokens", Spec.CostPer1kTokens, 0, 1e9)
        .number("quality", Spec.Quality, 0, 1)
        .number("quality_weight", Spec.QualityWeight, 0, 1e6)
        .text("state", State)
        .finish();
    if (const auto *It = std::find(StateNames.begin(), StateNames.end(), State);
        It != StateNames.end())
      Spec.State = static_cast<version_state>(It - StateNames.begin());
    else
      Reader.report("state", "must be active, retiring or withdrawn");
    const auto At = Name.find('@');
    if (At == std::string::npos || At == 0 || At + 1 == Name.size())
      Reader.report("", "a version is named \"model@version\"");
    Spec.Model = Name.substr(0, At);
    Spec.Name = Name;
    Config.Versions.emplace(std::move(Name), std::move(Spec));
  }

  void readWork(std::string Name, const toml::table &Table,
                const std::string &Path) {
    work_spec Spec;
    section_reader Reader(Table, Path, Errors);
    Reader.texts("versions", Spec.Versions)
        .number("quality_target", Spec.QualityTarget, 0, 1)
        .boolean("cascade", Spec.Cascade)
        .text("when_none_meets", Spec.WhenNoneMeets)
        .finish();
    if (Spec.WhenNoneMeets != "best" && Spec.WhenNoneMeets != "refuse")
      Reader.report("when_none_meets", "must be best or refuse");
    Spec.Name = Name;
    Config.Work.emplace(std::move(Name), std::move(Spec));
  }

  void readCustomer(std::string Name, const toml::table &Table,
                    const std::string &Path) {
    customer_spec Spec;
    section_reader Reader(Table, Path, Errors);
    Reader.texts("key_sha256", Spec.KeySha256)
        .texts("allowed", Spec.Allowed)
        .texts("services", Spec.Services)
        .number("weight", Spec.Weight, 0.01, 1000)
        .number("quota_tokens_per_second", Spec.QuotaTokensPerSecond, 0, 1e9)
        .table("quality_targets",
               [&](const toml::table &Targets, const std::string &Sub) {
                 section_reader Inner(Targets, Sub, Errors);
                 for (const auto &[Work, Node] : Targets)
                   Inner.number(Work.str(),
                                Spec.QualityTargets[std::string(Work.str())], 0,
                                1);
               })
        .finish();
    for (const std::string &Hash : Spec.KeySha256)
      if (Hash.size() != 2 * SHA256_DIGEST_LENGTH)
        Reader.report("key_sha256", "must be SHA-256 digests in hex");
    Spec.Name = Name;
    Config.Customers.emplace(std::move(Name), std::move(Spec));
  }

  void readService(std::string Name, const toml::table &Table,
                   const std::string &Path) {
    service_spec Spec;
    section_reader(Table, Path, Errors)
        .text("pool", Spec.Pool, true)
        .boolean("idempotent", Spec.Idempotent)
        .finish();
    Spec.Name = Name;
    Config.Services.emplace(std::move(Name), std::move(Spec));
  }

  void readEndpoint(std::string Name, const toml::table &Table,
                    const std::string &Path) {
    endpoint_spec Spec;
    section_reader Reader(Table, Path, Errors);
    Reader.text("address", Spec.Address, true)
        .text("data_centre", Spec.DataCentre, true)
        .text("pool", Spec.Pool, true)
        .boolean("fenced", Spec.Fenced)
        .boolean("leaving", Spec.Leaving)
        .texts("loads", Spec.Loads)
        .finish();
    if (!Spec.Address.empty() && Spec.Address.find(':') == std::string::npos)
      Reader.report("address", "must be an IP number and a port");
    Spec.Name = Name;
    Config.Endpoints.emplace(std::move(Name), std::move(Spec));
  }

  void readRollout(std::string Name, const toml::table &Table,
                   const std::string &Path) {
    rollout_spec Spec;
    section_reader Reader(Table, Path, Errors);
    Reader.text("from", Spec.From, true)
        .text("to", Spec.To, true)
        .numbers("steps_percent", Spec.StepsPercent)
        .integer("step", Spec.Step, 0, 1000)
        .boolean("automatic", Spec.Automatic)
        .boolean("paused", Spec.Paused)
        .finish();
    checkSteps(Spec, Reader);
    Spec.Name = Name;
    Config.Rollouts.emplace(std::move(Name), std::move(Spec));
  }

  static void checkSteps(const rollout_spec &Spec, section_reader &Reader) {
    const auto IsOutOfRange = [](double Percent) {
      return Percent < 0 || Percent > 100;
    };
    const std::vector<double> &Steps = Spec.StepsPercent;
    if (Steps.empty() || !std::is_sorted(Steps.begin(), Steps.end()) ||
        std::any_of(Steps.begin(), Steps.end(), IsOutOfRange))
      Reader.report("steps_percent", "must be an ascending list from 0 to 100");
    else if (Spec.Step >= Steps.size())
      Reader.report("step", "is past the last of steps_percent");
  }

  /// Reports an undefined `Target` at `Section.Name.Key` if `Known` is false.
  void checkReference(bool Known, const toml::table &Root,
                      std::string_view Section, const std::string &Name,
                      std::string_view Key, const std::string &Target) {
    if (Known)
      return;
    const auto Node = Root[Section][Name];
    const toml::table *Table = Node.as_table();
    const toml::table Empty;
    section_reader(Table ? *Table : Empty, std::string(Section) + "." + Name,
                   Errors)
        .report(Key, "names " + Target + ", which is not defined");
  }

  bool hasPool(const std::string &Pool) const {
    return std::any_of(
        Config.Endpoints.begin(), Config.Endpoints.end(),
        [&](const auto &Item) { return Item.second.Pool == Pool; });
  }

  bool matchesAnyVersion(const std::string &Name) const {
    if (Config.Versions.contains(Name))
      return true;
    return std::any_of(
        Config.Versions.begin(), Config.Versions.end(),
        [&](const auto &Item) { return Item.second.Model + "@*" == Name; });
  }

  void checkReferences(const toml::table &Root) {
    for (const auto &[Name, Spec] : Config.Versions)
      checkReference(Spec.Pool.empty() || hasPool(Spec.Pool), Root, "versions",
                     Name, "pool", Spec.Pool);
    for (const auto &[Name, Spec] : Config.Services)
      checkReference(Spec.Pool.empty() || hasPool(Spec.Pool), Root, "services",
                     Name, "pool", Spec.Pool);
    for (const auto &[Name, Spec] : Config.Work)
      for (const std::string &Version : Spec.Versions)
        checkReference(Config.Versions.contains(Version), Root, "work", Name,
                       "versions", Version);
    for (const auto &[Name, Spec] : Config.Customers) {
      for (const std::string &Allowed : Spec.Allowed)
        checkReference(matchesAnyVersion(Allowed), Root, "customers", Name,
                       "allowed", Allowed);
      for (const std::string &Service : Spec.Services)
        checkReference(Config.Services.contains(Service), Root, "customers",
                       Name, "services", Service);
      for (const auto &[Work, Target] : Spec.QualityTargets)
        checkReference(Config.Work.contains(Work), Root, "customers", Name,
                       "quality_targets", Work);
    }
    for (const auto &[Name, Spec] : Config.Endpoints)
      for (const std::string &Version : Spec.Loads)
        checkReference(Config.Versions.contains(Version), Root, "endpoints",
                       Name, "loads", Version);
    for (const auto &[Name, Spec] : Config.Rollouts) {
      checkReference(Config.Versions.contains(Spec.From), Root, "rollouts",
                     Name, "from", Spec.From);
      checkReference(Config.Versions.contains(Spec.To), Root, "rollouts", Name,
                     "to", Spec.To);
    }
  }

  configuration &Config;
  std::vector<file_error> &Errors;
};

const std::array<configuration_builder::section, 6>
    configuration_builder::Sections{{
        {"versions", &configuration_builder::readVersion,
         &configuration_builder::eraseFrom<&configuration::Versions>},
        {"work", &configuration_builder::readWork,
         &configuration_builder::eraseFrom<&configuration::Work>},
        {"customers", &configuration_builder::readCustomer,
         &configuration_builder::eraseFrom<&configuration::Customers>},
        {"services", &configuration_builder::readService,
         &configuration_builder::eraseFrom<&configuration::Services>},
        {"endpoints", &configuration_builder::readEndpoint,
         &configuration_builder::eraseFrom<&configuration::Endpoints>},
        {"rollouts", &configuration_builder::readRollout,
         &configuration_builder::eraseFrom<&configuration::Rollouts>},
    }};

} // namespace

std::string_view nameOf(version_state State) {
  return StateNames[static_cast<std::size_t>(State)];
}

parsed_configuration parseConfiguration(std::span<const config_file> Files,
                                        std::uint64_t Offset) {
  std::vector<const config_file *> Ordered;
  for (const config_file &File : Files)
    Ordered.push_back(&File);
  std::sort(Ordered.begin(), Ordered.end(),
            [](const auto *A, const auto *B) { return A->Name < B->Name; });

  parsed_configuration Parsed;
  toml::table Root;
  for (const config_file *File : Ordered)
    mergeToml(Root, parseToml(File->Name, File->Text, Parsed.Errors));

  auto Config = std::make_shared<configuration>();
  Config->Offset = Offset;
  configuration_builder(*Config, Parsed.Errors).build(Root);
  std::sort(Parsed.Errors.begin(), Parsed.Errors.end(),
            [](const file_error &A, const file_error &B) {
              return std::tie(A.File, A.Line, A.Key) <
                     std::tie(B.File, B.Line, B.Key);
            });
  if (Parsed.Errors.empty())
    Parsed.Config = std::move(Config);
  return Parsed;
}

bool isSection(std::string_view Key) {
  return configuration_builder::isSection(Key);
}

parsed_configuration rebuildItems(const configuration &Base,
                                  std::span<const item_name> Items,
                                  const toml::table &Root,
                                  std::uint64_t Offset) {
  auto Config = std::make_shared<configuration>(Base);
  Config->Offset = Offset;
  parsed_configuration Parsed;
  configuration_builder Builder(*Config, Parsed.Errors);
  for (const item_name &Item : Items)
    Builder.erase(Item);
  Builder.build(Root);
  if (Parsed.Errors.empty())
    Parsed.Config = std::move(Config);
  return Parsed;
}

bool isAllowed(const customer_spec &Customer, const version_spec &Version) {
  return std::any_of(Customer.Allowed.begin(), Customer.Allowed.end(),
                     [&](const std::string &Name) {
                       return Name == Version.Name ||
                              Name == Version.Model + "@*";
                     });
}

std::string sha256Hex(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Sum{};
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Sum.data());
  std::string Hex;
  for (const unsigned char Byte : Sum) {
    Hex += Digits[Byte >> 4U];
    Hex += Digits[Byte & 15U];
  }
  return Hex;
}

const customer_spec *findCustomer(const configuration &Config,
                                  std::string_view Key) {
  const std::string Hash = sha256Hex(Key);
  const customer_spec *Found = nullptr;
  // No early exit, so that timing does not reveal which key matched.
  for (const auto &[Name, Customer] : Config.Customers)
    for (const std::string &Known : Customer.KeySha256)
      if (CRYPTO_memcmp(Known.data(), Hash.data(), Hash.size()) == 0)
        Found = &Customer;
  return Found;
}

} // namespace clementinelane
