#include "leaving_probe.h"

#include "logs.h"

#include <boost/asio/post.hpp>

namespace clementinelane {

void leaving_probe::setLeaving(const std::string &Endpoint, bool IsLeaving) {
  if (!IsLeaving)
    return clearLeaving(Endpoint);
  {
    const std::scoped_lock Lock(Mutex);
    if (!Leaving.insert(Endpoint).second)
      return;
  }
  logs::info("endpoint_leaving",
             {{"endpoint", Endpoint}, {"source", "answer"}});
  Apply(Endpoint, true);
  schedule(Endpoint);
}

void leaving_probe::clearLeaving(const std::string &Endpoint) {
  {
    const std::scoped_lock Lock(Mutex);
    if (Leaving.erase(Endpoint) == 0)
      return;
  }
  logs::info("endpoint_stays", {{"endpoint", Endpoint}});
  Apply(Endpoint, false);
}

void leaving_probe::schedule(const std::string &Endpoint) {
  Timers.after(config::LeavingProbeInterval,
               [Weak = weak_from_this(), Endpoint] {
                 if (const auto Self = Weak.lock())
                   Self->probe(Endpoint);
               });
}

void leaving_probe::probe(const std::string &Endpoint) {
  const configuration_ptr Current = Config.get();
  const auto Spec = Current->Endpoints.find(Endpoint);
  if (Spec == Current->Endpoints.end())
    return clearLeaving(Endpoint);
  const fetch_request Request{
      Spec->second.Address,     "GET", "/healthz", {}, {},
      config::CancelCallTimeout};
  boost::asio::post(
      Http.context(), [Self = shared_from_this(), Request, Endpoint] {
        startFetch(Self->Http.context(), Self->Http.connector(), Request,
                   [Self, Endpoint](const std::optional<fetch_answer> &Answer) {
                     Self->onProbed(Endpoint, Answer);
                   });
      });
}

// An endpoint that is unreachable is probed again until it is removed from the
// configuration.
void leaving_probe::onProbed(const std::string &Endpoint,
                             const std::optional<fetch_answer> &Answer) {
  constexpr unsigned StatusOk = 200;
  if (Answer && Answer->Head.Status == StatusOk &&
      Answer->Head.value("X-Leaving") != "true")
    clearLeaving(Endpoint);
  else
    schedule(Endpoint);
}

} // namespace clementinelane
