#include "endpoint_client.h"

#include "exchange_p.h"

#include <unordered_map>

namespace clementinelane {

namespace {

std::string exchangeId(std::string_view RequestId, unsigned Attempt) {
  return std::string(RequestId) + "#" + std::to_string(Attempt);
}

} // namespace

class http_endpoint_transport::impl {
public:
  explicit impl(std::shared_ptr<exchange_context> Context)
      : Context(std::move(Context)) {}

  void add(const std::string &Id, std::shared_ptr<exchange> Exchange) {
    const std::scoped_lock Lock(Mutex);
    OpenExchanges.insert_or_assign(Id, std::move(Exchange));
  }

  std::shared_ptr<exchange> remove(const std::string &Id) {
    const std::scoped_lock Lock(Mutex);
    const auto Node = OpenExchanges.extract(Id);
    return Node.empty() ? nullptr : Node.mapped();
  }

  std::shared_ptr<exchange_context> Context;

private:
  std::mutex Mutex;
  std::unordered_map<std::string, std::shared_ptr<exchange>> OpenExchanges;
};

http_endpoint_transport::http_endpoint_transport(http_client_thread &Http,
                                                 timer_service &Timers,
                                                 const runtime_clock &Clock,
                                                 leaving_callback OnLeaving,
                                                 progress_timeouts Limits,
                                                 memory_account_ptr Memory)
    : Impl(std::make_shared<impl>(std::shared_ptr<exchange_context>(
          new exchange_context{Timers, Clock, std::move(OnLeaving), Limits,
                               std::move(Memory), Http}))) {}

http_endpoint_transport::~http_endpoint_transport() = default;

void http_endpoint_transport::start(const caller_request &Request,
                                    const endpoint_call &Call,
                                    attempt_callback OnEvent) {
  const std::string Id = exchangeId(Request.Id, Call.Attempt);
  const auto Exchange = std::make_shared<exchange>(
      Impl->Context, Request, Call, std::move(OnEvent),
      [Weak = std::weak_ptr(Impl), Id] {
        if (const auto Transport = Weak.lock())
          Transport->remove(Id);
      });
  Impl->add(Id, Exchange);
  Exchange->run(Request);
}

void http_endpoint_transport::cancel(std::string_view RequestId,
                                     unsigned Attempt) {
  if (const auto Exchange = Impl->remove(exchangeId(RequestId, Attempt)))
    Exchange->cancel();
}

} // namespace clementinelane
