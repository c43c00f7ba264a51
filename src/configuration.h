#pragma once

#include "toml_reader.h"

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// One file of the configuration folder.
struct config_file {
  std::string Name;
  std::string Text;
};

/// Active takes all work; retiring serves its open sessions and takes no new
/// ones; withdrawn takes nothing.
enum class version_state : std::uint8_t { Active, Retiring, Withdrawn };

/// A version of a model, named "model@version".
struct version_spec {
  std::string Name;
  std::string Model;
  std::string Pool;
  double CostPer1kTokens = 0; ///< in the operators' currency
  double Quality = 0;         ///< prior mean, 0 to 1
  double QualityWeight = 20;  ///< prior weight, in rated answers
  version_state State = version_state::Active;
};

/// One instance of a model engine or of a plain service.
struct endpoint_spec {
  std::string Name;
  std::string Address; ///< IP number and port
  std::string DataCentre;
  std::string Pool;
  bool Fenced = false;            ///< rejects orders with an old fencing number
  bool Leaving = false;           ///< takes no new work
  std::vector<std::string> Loads; ///< versions to load; empty: all of its pool
};

/// A kind of work and the versions that can serve it.
struct work_spec {
  std::string Name;
  std::vector<std::string> Versions;
  double QualityTarget = 0; ///< 0 to 1
  bool Cascade = false;     ///< cheap version first, escalate on a low rating
  std::string WhenNoneMeets = "best"; ///< or "refuse"
};

struct customer_spec {
  std::string Name;
  std::vector<std::string> KeySha256; ///< hex; never the key itself
  std::vector<std::string> Allowed;   ///< "model@version" or "model@*"
  std::vector<std::string> Services;
  std::map<std::string, double> QualityTargets; ///< by work
  double Weight = 1;                            ///< share of a full queue
  double QuotaTokensPerSecond = 0;              ///< 0: none
};

struct service_spec {
  std::string Name;
  std::string Pool;
  bool Idempotent = false; ///< false: each call runs at most once
};

/// Moves new sessions from one version to another in steps.
struct rollout_spec {
  std::string Name;
  std::string From;
  std::string To;
  std::vector<double> StepsPercent;
  std::uint64_t Step = 0; ///< index into StepsPercent
  bool Automatic = false; ///< advance, or withdraw, without an operator
  bool Paused = false;
};

/// The configuration in force at one log offset; immutable once built.
struct configuration {
  std::uint64_t Offset = 0;
  std::map<std::string, version_spec, std::less<>> Versions;
  std::map<std::string, work_spec, std::less<>> Work;
  std::map<std::string, customer_spec, std::less<>> Customers;
  std::map<std::string, service_spec, std::less<>> Services;
  std::map<std::string, endpoint_spec, std::less<>> Endpoints;
  std::map<std::string, rollout_spec, std::less<>> Rollouts;
};

using configuration_ptr = std::shared_ptr<const configuration>;

/// A configuration, or all errors found in it.
struct parsed_configuration {
  configuration_ptr Config;
  std::vector<file_error> Errors;
};

/// Merges `Files` in the order of their names, later files overriding earlier
/// ones, and validates the result.
parsed_configuration parseConfiguration(std::span<const config_file> Files,
                                        std::uint64_t Offset);

/// Name of one table of the configuration: "endpoints" and "runner-a1".
struct item_name {
  std::string Section;
  std::string Name;
  auto operator<=>(const item_name &) const = default;
};

/// Whether `Key` is a section of the configuration.
bool isSection(std::string_view Key);

/// `Base` with `Items` read again from `Root`; items missing there are removed.
/// Validates the whole result. Errors may lack a line number.
parsed_configuration rebuildItems(const configuration &Base,
                                  std::span<const item_name> Items,
                                  const toml::table &Root,
                                  std::uint64_t Offset);

/// Whether `Customer` may use `Version`.
bool isAllowed(const customer_spec &Customer, const version_spec &Version);

/// Hex SHA-256 of `Text`.
std::string sha256Hex(std::string_view Text);

/// The customer whose key is `Key`, or null. Compares in constant time.
const customer_spec *findCustomer(const configuration &Config,
                                  std::string_view Key);

std::string_view nameOf(version_state State);

} // namespace clementinelane
