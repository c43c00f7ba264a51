#pragma once

#include "clock.h"
#include "configuration.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace clementinelane {

/// The desired state of one engine.
struct engine_target {
  std::string Endpoint;
  std::string Address;
  bool Fenced = false;
  std::set<std::string> Versions;
};

/// The engines of one data centre and the versions that each should have
/// loaded: those of its pool that are not withdrawn, limited to its `loads` if
/// set.
std::vector<engine_target> engineTargets(const configuration &Config,
                                         std::string_view DataCentre);

enum class order_kind : std::uint8_t { Load, Unload };
std::string_view nameOf(order_kind Kind);

/// The result of an order, as far as it is known.
enum class order_result : std::uint8_t { Done, Fenced, Unknown };

namespace reconcile_event {
struct targets {
  std::vector<engine_target> Targets;
};
/// The versions that the engine reports as loaded; null if it didn't respond.
struct state_read {
  std::string Endpoint;
  std::optional<std::set<std::string>> Loaded;
};
struct order_ended {
  std::string Endpoint;
  order_result Result = order_result::Unknown;
};
/// Periodic tick. `Fence` is the fencing token if the lease is valid long
/// enough for one order.
struct tick {
  std::optional<std::uint64_t> Fence;
  bool TookOver = false; ///< the lease was another holder's before
};
} // namespace reconcile_event

using reconcile_input =
    std::variant<reconcile_event::targets, reconcile_event::state_read,
                 reconcile_event::order_ended, reconcile_event::tick>;

namespace reconcile_action {
struct read_state {
  std::string Endpoint;
  std::string Address;
};
struct send_order {
  std::string Endpoint;
  std::string Address;
  order_kind Kind = order_kind::Load;
  std::string Version;
  std::uint64_t Fence = 0;
};
} // namespace reconcile_action

using reconcile_output =
    std::variant<reconcile_action::read_state, reconcile_action::send_order>;

/// Reconciles the loaded versions of engines with the configuration. Active
/// only on the holder of the lease of their data centre. State machine without
/// I/O.
/// Load: a roll-out adds a version to every engine of a pool at once. Harm
/// prevented: all of them fetch weights from the rate-limited store and none
/// succeeds; a token bucket spreads the loads. Two controllers would revert
/// each other's orders; a lease and fencing tokens prevent it.
class engine_reconciler {
public:
  std::vector<reconcile_output> handle(const reconcile_input &Input,
                                       mono_time Now);

  /// Number of engines in their desired state.
  std::size_t countSettled() const;

private:
  enum class phase : std::uint8_t { Unread, Reading, Known, Ordering };
  struct engine {
    engine_target Target;
    phase Phase = phase::Unread;
    std::set<std::string> Loaded;
    mono_time NotBefore{}; ///< earliest time of the next read or order
    order_kind Kind = order_kind::Load;
    std::string Version; ///< of the order in progress
    std::uint64_t Fence = 0;
  };
  using outputs = std::vector<reconcile_output>;

  void on(const reconcile_event::targets &Event, mono_time Now, outputs &Out);
  void on(const reconcile_event::state_read &Event, mono_time Now,
          outputs &Out);
  void on(const reconcile_event::order_ended &Event, mono_time Now,
          outputs &Out);
  void on(const reconcile_event::tick &Event, mono_time Now, outputs &Out);
  void startLease(bool TookOver, mono_time Now);
  void reconcile(engine &Engine, std::uint64_t Fence, mono_time Now,
                 outputs &Out);
  void startOrder(engine &Engine, order_kind Kind, const std::string &Version,
                  std::uint64_t Fence, outputs &Out);
  bool takeLoadToken(mono_time Now);

  std::map<std::string, engine> Engines;
  bool HasLease = false;
  double LoadTokens = 0;
  std::optional<mono_time> RefilledAt;
};

} // namespace clementinelane
