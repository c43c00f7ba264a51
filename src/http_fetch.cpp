#include "http_fetch.h"

#include "http_exchange.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace clementinelane {

namespace {

namespace asio = boost::asio;

/// One request, until its answer or its timeout.
class fetch_operation : public std::enable_shared_from_this<fetch_operation> {
public:
  fetch_operation(asio::io_context &Context, fetch_handler Handler)
      : Timer(Context), Handler(std::move(Handler)) {}

  void start(endpoint_connector &Connector, const fetch_request &Request) {
    Timer.expires_after(Request.Timeout);
    Timer.async_wait(
        [Self = shared_from_this()](const boost::system::error_code &Error) {
          if (!Error)
            Self->end(std::nullopt);
        });
    Exchange = startExchange(Connector,
                             {{Request.Address},
                              Request.Method,
                              fetchText(Request),
                              Request.Timeout},
                             events());
  }

private:
  http_exchange_events events() {
    http_exchange_events Events;
    Events.OnHead = [Self = shared_from_this()](const http_head &Head) {
      Self->Answer.Head = Head;
    };
    Events.OnBody = [Self = shared_from_this()](const std::string &Bytes) {
      Self->addBody(Bytes);
    };
    Events.OnEnd = [Self = shared_from_this()] {
      Self->end(std::move(Self->Answer));
    };
    Events.OnFailure = [Self = shared_from_this()](exchange_failure) {
      Self->end(std::nullopt);
    };
    return Events;
  }

  // Failure: a process that sends a body without end.
  void addBody(std::string_view Bytes) {
    if (Answer.Body.size() + Bytes.size() > config::MaxLinkMessageBytes)
      end(std::nullopt);
    else
      Answer.Body += Bytes;
  }

  void end(std::optional<fetch_answer> Result) {
    const auto Keep = shared_from_this();
    const auto Handle = std::exchange(Handler, nullptr);
    Timer.cancel();
    if (const auto Ended = std::exchange(Exchange, nullptr))
      Ended->cancel();
    if (Handle)
      Handle(std::move(Result));
  }

  asio::steady_timer Timer;
  fetch_handler Handler;
  std::shared_ptr<http_exchange> Exchange;
  fetch_answer Answer;
};

} // namespace

std::string fetchText(const fetch_request &Request) {
  http_head Head;
  Head.Method = Request.Method;
  Head.Target = Request.Target;
  Head.Fields = {{"Host", Request.Address}};
  Head.Fields.insert(Head.Fields.end(), Request.Fields.begin(),
                     Request.Fields.end());
  if (!Request.Body.empty() || Request.Method == "POST" ||
      Request.Method == "PUT" || Request.Method == "PATCH")
    Head.Fields.push_back(
        {"Content-Length", std::to_string(Request.Body.size())});
  Head.Fields.push_back({"Connection", "close"});
  return requestHeadText(Head) + Request.Body;
}

void startFetch(asio::io_context &Context, endpoint_connector &Connector,
                const fetch_request &Request, fetch_handler Handler) {
  std::make_shared<fetch_operation>(Context, std::move(Handler))
      ->start(Connector, Request);
}

std::optional<fetch_answer> fetch(const fetch_request &Request) {
  asio::io_context Context(1);
  tcp_connector Connector(Context);
  std::optional<fetch_answer> Answer;
  startFetch(Context, Connector, Request,
             [&Answer](std::optional<fetch_answer> Result) {
               Answer = std::move(Result);
             });
  Context.run();
  return Answer;
}

http_client_thread::http_client_thread()
    : Guard(asio::make_work_guard(Context)), Thread([this] { Context.run(); }) {
}

void http_client_thread::stop() {
  Context.stop();
  if (Thread.joinable())
    Thread.join();
}

} // namespace clementinelane
