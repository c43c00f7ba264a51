#include "admission_gate.h"

#include "config.h"
#include "peer_loads.h"

#include <algorithm>

namespace clementinelane {

gate_request gateRequestOf(const routed_call &Call, unsigned Priority,
                           duration LongestReturn) {
  gate_request Request;
  Request.Key.Service = digestHash(Call.Service);
  Request.Key.Customer =
      Call.Customer.Name.empty() ? 0 : digestHash(Call.Customer.Name);
  Request.Key.Priority = Priority;
  Request.Request = Call.Digest;
  Request.TargetLatency = Call.Route->TargetLatency;
  Request.LongestReturn = LongestReturn;
  return Request;
}

gate_decision admission_gate::offer(const gate_request &Request,
                                    mono_time Now) {
  Shares.recordOffer(Request.Key, Now);
  gate_decision Decision = decide(Request, Now);
  Decision.AdmittedPart = Shares.admittedPart(Request.Key, Now);
  return Decision;
}

// Load: few endpoints reject requests while others have free slots. Harm
// prevented: a refusal while there is room elsewhere.
bool admission_gate::isHolding(const gate_request &Request,
                               mono_time Now) const {
  return IsEnabled && Request.IsFull && Request.Key.Customer != 0 &&
         Shares.isShort(Request.Key.Service, Now);
}

gate_decision admission_gate::decide(const gate_request &Request,
                                     mono_time Now) {
  const share_key &Key = Request.Key;
  const bool IsDue =
      Returns.standingOf(Request.Request, Now) == return_standing::Due;
  if (IsDue)
    Returns.finish(Request.Request);
  if (!isHolding(Request, Now))
    return {gate_action::Send, {}, "enough_capacity"};
  if (IsDue) {
    Shares.admitReturn(Key);
    return {gate_action::Send, {}, "planned_return"};
  }
  if (Shares.tryAdmit(Key, Now))
    return {gate_action::Send, {}, "within_share"};
  if (const auto End = reserveWait(Request, Now))
    return {gate_action::Wait, *End - Now, "share_comes_soon"};
  return {gate_action::Refuse, planReturn(Request, Now), "beyond_share"};
}

// Charges the share at once, so that later requests don't overtake it.
std::optional<mono_time>
admission_gate::reserveWait(const gate_request &Request, mono_time Now) {
  std::erase_if(Waits, [Now](const wait &Each) { return Each.End <= Now; });
  auto End = Shares.nextAdmission(Request.Key, Now);
  if (!End || Waits.size() >= config::MaxShareWaits)
    return std::nullopt;
  for (const wait &Each : Waits)
    if (!(Each.Key < Request.Key) && !(Request.Key < Each.Key))
      End = std::max(*End, Each.End);
  if (*End - Now > Request.TargetLatency / config::UnnoticedWaitDivisor)
    return std::nullopt;
  Shares.admitReturn(Request.Key);
  Waits.push_back({Request.Key, *End});
  return End;
}

// A caller that came before its time keeps its plan and gets no second one. A
// caller for whom there is no time within what it honours is told the longest
// one, since it may find capacity nevertheless.
duration admission_gate::planReturn(const gate_request &Request,
                                    mono_time Now) {
  const bool IsEarly =
      Returns.standingOf(Request.Request, Now) == return_standing::Early;
  const double Rate =
      config::ReturnRatePart * Shares.admittedRate(Request.Key, Now);
  const duration Time = Returns.plan(
      Request.Key, Request.Request, std::max(Rate, config::MinReturnRate),
      IsEarly ? duration::zero() : Request.LongestReturn, Now);
  return std::min(Time, Request.LongestReturn);
}

} // namespace clementinelane
