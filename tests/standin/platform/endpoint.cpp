#include "endpoint.h"

#include "query.h"

namespace clementinelane::standin {

/// A pending request.
struct platform_endpoint::run {
  run(boost::asio::io_context &Context, exchange_ptr Exchange)
      : Exchange(std::move(Exchange)), Timer(Context) {}
  exchange_ptr Exchange;
  boost::asio::steady_timer Timer;
  unsigned Next = 1; ///< id of the next event
  unsigned Sent = 0;
  bool HasBegun = false;
  bool IsGone = false;
};

platform_endpoint::platform_endpoint(boost::asio::io_context &Context,
                                     std::string_view Address,
                                     endpoint_behaviour Behaviour)
    : Context(Context), Behaviour(std::move(Behaviour)), Address(Address),
      Down(Context) {
  listen();
}

void platform_endpoint::listen() {
  Server = std::make_unique<caller_server>(
      Context, Address,
      [this](const exchange_ptr &Exchange) { handleRequest(Exchange); });
}

bool platform_endpoint::hasCrashPart(const caller_exchange &Exchange) const {
  return !Behaviour.CrashPart.empty() &&
         ("," + std::string(Exchange.head().value("X-Prompt-Prefix-Hash")))
                 .find("," + Behaviour.CrashPart + ":") != std::string::npos;
}

bool platform_endpoint::crashes(const caller_exchange &Exchange) const {
  if (hasCrashPart(Exchange))
    return true;
  return !Behaviour.CrashBody.empty() &&
         Exchange.body() == Behaviour.CrashBody &&
         (Behaviour.CrashCustomer.empty() ||
          Exchange.head().value("X-Tenant") == Behaviour.CrashCustomer);
}

void platform_endpoint::crash() {
  ++Crashes;
  CrashTimes.push_back(std::chrono::steady_clock::now());
  Server.reset();
  Down.expires_after(Behaviour.DownFor);
  Down.async_wait([this](const boost::system::error_code &Error) {
    if (Error)
      return;
    const std::string Old = Behaviour.Id;
    Behaviour.Id = Old.substr(0, Old.find('-')) + "-" + std::to_string(Crashes);
    listen();
    if (RestartHandler)
      RestartHandler(Old, Behaviour.Id);
  });
}

bool platform_endpoint::handleControl(caller_exchange &Exchange) {
  const std::string &Target = Exchange.head().Target;
  if (Target.starts_with("/standin/runs")) {
    std::string Text;
    for (const auto &[Id, Count] : Runs)
      Text += Id + " " + std::to_string(Count) + "\n";
    Exchange.answer(200, {}, Text);
    return true;
  }
  if (!Target.starts_with("/standin/set"))
    return false;
  Behaviour.Fails = queryNumber(Target, "fails") > 0;
  Behaviour.IsFull = queryNumber(Target, "full") > 0;
  Behaviour.NeverAnswers = queryNumber(Target, "mute") > 0;
  const auto RetryAfter = queryNumber(Target, "retry_after");
  Behaviour.RetryAfter = RetryAfter > 0 ? std::to_string(RetryAfter) : "";
  Behaviour.CutAfter = static_cast<unsigned>(queryNumber(Target, "cut_after"));
  Exchange.answer(200, {}, "ok\n");
  return true;
}

std::vector<http_field>
platform_endpoint::fieldsFor(const caller_exchange &Exchange) const {
  std::vector<http_field> Fields{
      {"X-Attempt-Id", std::string(Exchange.head().value("X-Attempt-Id"))},
      {"X-Instance-Signature", "signed-by-" + Behaviour.Id}};
  if (!Behaviour.Limit.empty())
    Fields.push_back({"Server-Limit", Behaviour.Limit});
  if (!Behaviour.RejectionLimit.empty())
    Fields.push_back({"Server-Brittle", Behaviour.RejectionLimit});
  if (Behaviour.IsLeaving)
    Fields.push_back({"Server-Leaving", "1"});
  return Fields;
}

double platform_endpoint::confidenceFor(const caller_exchange &Exchange) const {
  const auto Found =
      Behaviour.ConfidenceOfModel.find(Exchange.head().value("X-Model"));
  return Found == Behaviour.ConfidenceOfModel.end() ? Behaviour.Confidence
                                                    : Found->second;
}

void platform_endpoint::handleRequest(const exchange_ptr &Exchange) {
  if (handleControl(*Exchange))
    return;
  Arrivals.push_back(std::chrono::steady_clock::now());
  const http_head &Head = Exchange->head();
  const std::string_view Expected = Head.value("X-Expected-Instance");
  if (!Expected.empty() && Expected != Behaviour.Id) {
    Exchange->answer(421, {{"X-Instance-Id", Behaviour.Id}}, {});
    return;
  }
  if (Behaviour.IsFull) {
    std::vector<http_field> Fields{{"X-Not-Executed", "1"}};
    if (!Behaviour.RetryAfter.empty())
      Fields.push_back({"Retry-After", Behaviour.RetryAfter});
    if (Behaviour.IsLeaving)
      Fields.push_back({"Server-Leaving", "1"});
    Exchange->answer(503, std::move(Fields), {});
    return;
  }
  if (Behaviour.NeverAnswers) {
    Unanswered.push_back(Exchange);
    return;
  }
  if (hasCrashPart(*Exchange))
    PartArrivals.push_back(Arrivals.back());
  ++Runs[std::string(Head.value("X-Attempt-Id"))];
  Bodies.push_back(Exchange->body());
  const auto Run = std::make_shared<run>(Context, Exchange);
  if (const auto Last = Head.value("Last-Event-Id"); !Last.empty())
    Run->Next = static_cast<unsigned>(std::stoul(std::string(Last))) + 1;
  Exchange->onDisconnect([this, Weak = std::weak_ptr(Run)] {
    if (const auto Left = Weak.lock()) {
      Left->IsGone = true;
      ++Cancelled;
    }
  });
  work(Run);
}

void platform_endpoint::work(const std::shared_ptr<run> &Run) {
  Run->Timer.expires_after(Behaviour.Work);
  Run->Timer.async_wait([this, Run](const boost::system::error_code &Error) {
    if (!Error && !Run->IsGone)
      step(Run);
  });
}

void platform_endpoint::step(const std::shared_ptr<run> &Run) {
  caller_exchange &Exchange = *Run->Exchange;
  if (!Server)
    return;
  const bool IsDue =
      !hasCrashPart(Exchange) || Run->Next > Behaviour.CrashAfter;
  if (IsDue && crashes(Exchange)) {
    crash();
    return;
  }
  if (Behaviour.Fails) {
    Exchange.answer(500, fieldsFor(Exchange), "failed");
    return;
  }
  if (Behaviour.Events == 0) {
    Exchange.answer(200, fieldsFor(Exchange),
                    "served by " + Behaviour.Id + ": " + Exchange.body());
    return;
  }
  if (!Run->HasBegun) {
    auto Fields = fieldsFor(Exchange);
    Fields.push_back({"Content-Type", "text/event-stream"});
    Fields.push_back({"X-Confidence", std::to_string(confidenceFor(Exchange))});
    Exchange.begin(200, std::move(Fields));
    Run->HasBegun = true;
  }
  if (Run->Next > Behaviour.Events) {
    Exchange.end();
    return;
  }
  const std::string Event =
      "id: " + std::to_string(Run->Next) + "\ndata: token\n\n";
  if (Behaviour.CutAfter > 0 && Run->Sent >= Behaviour.CutAfter) {
    Exchange.write(Event.substr(0, Event.size() / 2));
    Exchange.abortAnswer();
    return;
  }
  Exchange.write(Event);
  ++Run->Next;
  ++Run->Sent;
  work(Run);
}

} // namespace clementinelane::standin
