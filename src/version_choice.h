#pragma once

#include "clementinelane/error.h"
#include "configuration.h"
#include "session_token.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// Quality estimates of versions by customer and kind of work.
class quality_source {
public:
  virtual ~quality_source() = default;
  /// Lower confidence bound of the share of good answers, 0 to 1.
  virtual double lowerBound(const version_spec &Version, std::string_view Work,
                            std::string_view Customer) const = 0;
  /// Upper confidence bound of the share of good answers, 0 to 1.
  virtual double upperBound(const version_spec &Version, std::string_view Work,
                            std::string_view Customer) const = 0;
  /// Whether a cascade may accept an answer of `Version` with the engine's
  /// `Confidence` (negative if not reported).
  virtual bool acceptsCascadeAnswer(const version_spec &Version,
                                    std::string_view Work,
                                    std::string_view Customer,
                                    double Confidence, double Target) const = 0;
  /// Share of the answers of `Version` that a cascade would accept, 0 to 1.
  virtual double cascadeAcceptanceRate(const version_spec &Version,
                                       std::string_view Work,
                                       std::string_view Customer,
                                       double Target) const = 0;
  /// Whether `Version` is halted, that is, gets no new sessions from this VM.
  virtual bool isHalted(std::string_view Version) const = 0;
};

/// Uses the configured prior as the quality, without ratings.
class prior_quality final : public quality_source {
public:
  double lowerBound(const version_spec &Version, std::string_view,
                    std::string_view) const override {
    return Version.Quality;
  }
  double upperBound(const version_spec &Version, std::string_view,
                    std::string_view) const override {
    return Version.Quality;
  }
  bool acceptsCascadeAnswer(const version_spec &Version, std::string_view,
                            std::string_view, double,
                            double Target) const override {
    return Version.Quality >= Target;
  }
  double cascadeAcceptanceRate(const version_spec &Version, std::string_view,
                               std::string_view, double Target) const override {
    return Version.Quality >= Target ? 1 : 0;
  }
  bool isHalted(std::string_view) const override { return false; }
};

struct version_choice_request {
  const customer_spec &Customer;
  std::string_view Model;     ///< kind of work, model, or model@version
  std::string_view SessionId; ///< the request id for requests without a session
  std::optional<session_binding> SessionBinding;
  bool HasSession = false; ///< excludes the request from cascades
  bool MayExplore = false; ///< no session, side effect or counter
                           ///< priority depends on the answer
};

/// A version that was excluded, and why.
struct version_exclusion {
  std::string Version;
  std::string Reason;
};

/// Versions that a request may run on, in order of preference.
struct version_plan {
  std::string Work; ///< empty where a model was named
  double Target = 0;
  bool Cascade = false;
  bool IsExploring = false;           ///< always sampled for rating
  std::vector<version_spec> Versions; ///< the chosen one first; others
                                      ///< only to escalate a cascade
  std::vector<version_exclusion> Excluded;
  std::string Reason;
  std::string RunnerUp;
};

/// Chooses the cheapest allowed version that meets the quality target.
///
/// Load: every request. Harm prevented: running work on a version that the
/// customer doesn't allow, that is withdrawn, or that misses the quality
/// target; silently moving a session to another version; paying for a more
/// expensive version than needed.
result<version_plan> chooseVersion(const configuration &Config,
                                   const version_choice_request &Request,
                                   const quality_source &Quality);

} // namespace clementinelane
