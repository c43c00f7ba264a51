#pragma once

#include "clock.h"
#include "recursive_least_squares.h"
#include "route_table.h"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace clementinelane {

/// Work to be done before an attempt's first byte; see call_work.
struct work_ahead {
  double Own = 0;    ///< its own prompt, without the part likely to be cached
  double Others = 0; ///< of other requests in progress on the same engine
};

/// Learns for each model how long engines take to an attempt's first byte,
/// without I/O: a fixed part, seconds per unit of own work and seconds per unit
/// of others' work. Work is measured in units of the service's cheapest model:
/// a model's relative pace is the ratio of the seconds that a prompt takes on
/// it to the seconds on the cheapest model.
///
/// Load: models of which only prices are known, on engines of unknown speed
/// that run short work first. Harm prevented: an attempt for a slow model
/// counts as light work, and requests queued behind it are late; a long prompt
/// is sent to an engine that can't meet its target. The prior of a model's pace
/// is derived from its price, since prices follow the engine time used;
/// observations replace it.
class engine_pace {
public:
  /// Sets the models of a service and their prices; keeps learned paces.
  void setModels(std::string_view Service, std::span<const model_price> Models);
  /// Pace of a model relative to the service's cheapest one; 1 for an unknown
  /// model.
  double of(std::string_view Service, std::string_view Model) const;
  /// Records that an attempt for `Model` got its first byte after `Wait`.
  void observe(std::string_view Service, std::string_view Model,
               const work_ahead &Work, duration Wait);
  /// Predicted time to the first byte.
  duration predict(std::string_view Service, std::string_view Model,
                   const work_ahead &Work) const;
  /// Wait caused by this much work of others on the model that it delays most.
  duration backlogWait(std::string_view Service, double Others) const;

  struct model_pace {
    model_pace(double PriorRelativePace);
    double PriorRelativePace; ///< from the prices
    double RelativePace;      ///< the prior, corrected by observed waits
    recursive_least_squares<3>
        Seconds; ///< fixed, thousand tokens, others' work
    unsigned SampleCount = 0;
  };
  struct service_pace {
    std::string Cheapest;
    std::map<std::string, model_pace, std::less<>> Models;
  };
  const std::map<std::string, service_pace, std::less<>> &all() const {
    return Services;
  }
  /// Seconds for a thousand tokens of the own prompt.
  static double secondsForOwn(const model_pace &Pace);
  /// Seconds for a unit of others' work.
  static double secondsForOthers(const model_pace &Pace);

private:
  model_pace *find(std::string_view Service, std::string_view Model);
  const model_pace &paceFor(std::string_view Service,
                            std::string_view Model) const;
  void setRelativePace(const service_pace &Service, model_pace &Pace) const;

  std::map<std::string, service_pace, std::less<>> Services;
};

} // namespace clementinelane
