#include "request_planning.h"

#include "config.h"

#include <algorithm>
#include <xxhash.h>

namespace clementinelane {

namespace {

/// Whether the request is in the sample of `Share` of all requests; stable for
/// a request id.
bool isSampled(std::string_view RequestId, double Share) {
  constexpr std::uint64_t Resolution = 1'000'000;
  const auto Hash = XXH3_64bits(RequestId.data(), RequestId.size());
  return static_cast<double>(Hash % Resolution) < Share * Resolution;
}

result<planned_request> planService(const configuration &Config,
                                    const customer_spec &Customer,
                                    const caller_request &Request) {
  const auto Service = Config.Services.find(Request.Model);
  if (Service == Config.Services.end())
    return error_kind::ServiceUnknown;
  if (std::find(Customer.Services.begin(), Customer.Services.end(),
                Request.Model) == Customer.Services.end())
    return error_kind::ServiceNotAllowed;
  planned_request Planned;
  Planned.Plan.Idempotent =
      Service->second.Idempotent && !Request.NonIdempotent;
  Planned.Plan.Versions = {Request.Model};
  Planned.Plan.CostsPer1kTokens = {0};
  Planned.Reason = "service";
  return Planned;
}

result<planned_request> planChat(const planning_context &Context,
                                 const configuration &Config,
                                 const customer_spec &Customer,
                                 const caller_request &Request,
                                 std::optional<session_binding> StoredBinding) {
  if (!Request.SessionToken.empty()) {
    auto Verified =
        Context.Tokens.verify(Request.SessionToken, Context.Clock.wallNow());
    if (!Verified)
      return Verified.error();
    if (Verified.value().Customer != Customer.Name)
      return error_kind::SessionTokenInvalid;
    StoredBinding = std::move(Verified).value();
  }
  const std::string &Session =
      Request.SessionId.empty() ? Request.Id : Request.SessionId;
  const bool HasSession = StoredBinding || !Request.SessionId.empty();
  const bool MayExplore = !HasSession && !Request.NonIdempotent &&
                          Request.Priority != priority::Counter;
  auto Chosen = chooseVersion(
      Config,
      {Customer, Request.Model, Session, StoredBinding, HasSession, MayExplore},
      Context.Quality);
  if (!Chosen)
    return Chosen.error();
  const version_plan &Choice = Chosen.value();
  planned_request Planned;
  Planned.Plan.Idempotent = !Request.NonIdempotent;
  Planned.Plan.Work = Choice.Work;
  Planned.Plan.IsSampled =
      Choice.IsExploring || isSampled(Request.Id, config::RatingShare);
  Planned.QualityTarget = Choice.Target;
  // Non-idempotent work runs once, on the plan's last version, which meets the
  // quality target.
  const std::size_t First =
      Planned.Plan.Idempotent ? 0 : Choice.Versions.size() - 1;
  for (std::size_t Index = First; Index < Choice.Versions.size(); ++Index) {
    Planned.Plan.Versions.push_back(Choice.Versions[Index].Name);
    Planned.Plan.CostsPer1kTokens.push_back(
        Choice.Versions[Index].CostPer1kTokens);
  }
  Planned.Binding =
      StoredBinding
          ? *StoredBinding
          : session_binding{Customer.Name, Request.SessionId,
                            Choice.Work,   Planned.Plan.Versions.front(),
                            Config.Offset, 0};
  Planned.Reason = Choice.Reason;
  Planned.RunnerUp = Choice.RunnerUp;
  return Planned;
}

} // namespace

std::string requestHash(const caller_request &Request) {
  return sha256Hex(Request.Method + "\n" + Request.Model + "\n" + Request.Path +
                   "\n" + Request.Body);
}

result<planned_request>
planRequest(const planning_context &Context, const configuration &Config,
            const caller_request &Request,
            const std::optional<session_binding> &StoredBinding,
            const customer_spec *&Customer) {
  Customer = findCustomer(Config, Request.Key);
  if (!Customer)
    return error_kind::KeyWrong;
  auto Planned = Request.IsService ? planService(Config, *Customer, Request)
                                   : planChat(Context, Config, *Customer,
                                              Request, StoredBinding);
  if (Planned && !Planned.value().Plan.Idempotent &&
      Request.IdempotencyKey.empty())
    return error_kind::IdempotencyKeyMissing;
  return Planned;
}

} // namespace clementinelane
