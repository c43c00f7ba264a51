#include "http_server.h"

#include "config.h"
#include "logs.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <cpprest/base_uri.h>
#include <future>
#include <pplx/pplxtasks.h>

namespace clementinelane {

namespace asio = boost::asio;

namespace {

/// Callers' pooled connections may wait this long for their next request.
constexpr auto ServerIdleTimeout = std::chrono::seconds(120);

std::string_view pathPart(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

/// Decoded segments of a target; none if its encoding is broken.
std::optional<std::vector<std::string>> segmentsOf(std::string_view Target) {
  try {
    return web::uri::split_path(
        web::uri::decode(std::string(pathPart(Target))));
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

std::vector<http_field> fieldsOf(std::span<const answer_header> Headers) {
  std::vector<http_field> Fields;
  Fields.reserve(Headers.size());
  for (const auto &[Name, Value] : Headers)
    Fields.push_back({Name, Value});
  return Fields;
}

bool matches(const http_route &Route, const std::vector<std::string> &Path) {
  std::size_t Index = 0;
  for (const std::string &Segment : Route.Path) {
    if (Segment == "**")
      return true;
    if (Index >= Path.size() || (Segment != "*" && Segment != Path[Index]))
      return false;
    ++Index;
  }
  return Index == Path.size();
}

} // namespace

/// Runs handlers on the library's threads and lets the server wait for them.
class http_server::task_count {
public:
  void run(const std::shared_ptr<task_count> &Self,
           std::function<void()> Function) {
    {
      const std::scoped_lock Lock(Mutex);
      ++Count;
    }
    // What the function holds is gone before the wait ends.
    pplx::create_task([Self, Held = std::make_shared<std::function<void()>>(
                                 std::move(Function))] {
      (*Held)();
      *Held = nullptr;
      const std::scoped_lock Lock(Self->Mutex);
      --Self->Count;
      Self->Changed.notify_all();
    });
  }
  void wait() {
    std::unique_lock Lock(Mutex);
    Changed.wait(Lock, [this] { return Count == 0; });
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::size_t Count = 0;
};

/// Answers from any thread; the exchange is used on the server's alone.
class http_server::writer final : public answer_writer,
                                  public std::enable_shared_from_this<writer> {
public:
  writer(std::shared_ptr<asio::io_context> Context,
         std::shared_ptr<caller_exchange> Exchange,
         std::shared_ptr<task_count> Tasks)
      : Context(std::move(Context)), Exchange(std::move(Exchange)),
        Tasks(std::move(Tasks)) {}
  ~writer() override {
    asio::post(*Context,
               [Last = std::move(Exchange)]() mutable { Last.reset(); });
  }
  writer(const writer &) = delete;
  writer &operator=(const writer &) = delete;

  /// Called on the server's thread before the handler.
  void observe() {
    Exchange->onDisconnect([Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->notifyGone();
    });
    Exchange->onDrained([Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->Unsent = Self->Exchange->unsentBytes();
    });
  }

  void sendComplete(std::uint32_t Status,
                    std::span<const answer_header> Headers,
                    std::string Body) override {
    post([Status, Fields = fieldsOf(Headers),
          Body = std::move(Body)](caller_exchange &E) mutable {
      E.answer(Status, std::move(Fields), Body);
    });
  }

  void begin(std::uint32_t Status,
             std::span<const answer_header> Headers) override {
    post([Status, Fields = fieldsOf(Headers)](caller_exchange &E) mutable {
      E.begin(Status, std::move(Fields));
    });
  }

  // Load: many streams whose callers stopped reading. Harm prevented: each
  // stream buffering its whole answer until the VM has no memory left. Past the
  // limit the caller counts as gone, which cancels the work.
  void write(std::string_view Bytes) override {
    if (IsBroken)
      return;
    if (Posted + Unsent > config::MaxStreamBufferBytes) {
      IsBroken = true;
      post([](caller_exchange &E) { E.abortAnswer(); });
      notifyGone();
      return;
    }
    Posted += Bytes.size();
    post([Self = shared_from_this(),
          Text = std::string(Bytes)](caller_exchange &E) {
      E.write(Text);
      Self->Unsent = E.unsentBytes();
      Self->Posted -= Text.size();
    });
  }

  void end() override {
    if (!IsBroken)
      post([](caller_exchange &E) { E.end(); });
  }

  void onDisconnect(std::function<void()> Call) override {
    const std::scoped_lock Lock(Mutex);
    GoneCallback = std::move(Call);
    if (IsGone)
      callGone();
  }

private:
  template <typename Function> void post(Function Do) {
    asio::post(*Context, [Exchange = Exchange, Do = std::move(Do)]() mutable {
      Do(*Exchange);
    });
  }

  void notifyGone() {
    const std::scoped_lock Lock(Mutex);
    if (!std::exchange(IsGone, true) && GoneCallback)
      callGone();
  }

  void callGone() { Tasks->run(Tasks, std::exchange(GoneCallback, nullptr)); }

  std::shared_ptr<asio::io_context> Context;
  std::shared_ptr<caller_exchange> Exchange;
  std::shared_ptr<task_count> Tasks;
  std::atomic<std::size_t> Posted{0}; ///< bytes not yet given to the connection
  std::atomic<std::size_t> Unsent{0}; ///< bytes that the connection hasn't sent
  std::atomic<bool> IsBroken{false};
  std::mutex Mutex; ///< of what follows
  std::function<void()> GoneCallback;
  bool IsGone = false;
};

std::string http_call::header(std::string_view Name) const {
  return std::string(Head.value(Name));
}

std::string_view http_call::queryText() const {
  const std::string_view Target = Head.Target;
  const std::size_t Mark = Target.find('?');
  return Mark == std::string_view::npos ? std::string_view()
                                        : Target.substr(Mark + 1);
}

std::string http_call::query(std::string_view Name) const {
  const auto Query = web::uri::split_query(std::string(queryText()));
  const auto Found = Query.find(std::string(Name));
  return Found == Query.end() ? std::string() : web::uri::decode(Found->second);
}

void http_call::fail(error_kind Kind) const {
  Writer->sendComplete(answerOf(Kind).HttpStatus,
                       errorHeaders(Kind, answerOf(Kind).Ran),
                       errorBody(Kind, answerOf(Kind).Ran, ""));
}

void http_call::json(const web::json::value &Json, std::uint32_t Status) const {
  const answer_header Type{"Content-Type", "application/json"};
  Writer->sendComplete(Status, {&Type, 1}, Json.serialize());
}

void http_call::text(std::string Text, std::string ContentType) const {
  const answer_header Type{"Content-Type", std::move(ContentType)};
  Writer->sendComplete(web::http::status_codes::OK, {&Type, 1},
                       std::move(Text));
}

http_server::http_server(std::string_view Address,
                         std::vector<http_route> Routes,
                         server_resources Resources)
    : Address(Address), Routes(std::move(Routes)),
      Resources(std::move(Resources)), Tasks(std::make_shared<task_count>()) {}

http_server::~http_server() { close(); }

void http_server::open() {
  connection_policy &Policy = *this; // a private base
  Server = std::make_unique<caller_server>(
      *Context, Address,
      [this](std::shared_ptr<caller_exchange> Exchange) {
        onRequest(std::move(Exchange));
      },
      &Policy, Resources.Memory);
  server_limits Limits;
  Limits.MaxBodyBytes = config::MaxBodyBytes;
  Limits.IdleTimeout = ServerIdleTimeout;
  Limits.MaxConnections = Resources.MaxConnections;
  Server->setLimits(Limits);
  Guard.emplace(Context->get_executor());
  Thread = std::thread([this] { Context->run(); });
}

void http_server::close() {
  if (!Thread.joinable())
    return;
  runOnServer([this] { Server.reset(); });
  Tasks->wait();
  Guard.reset();
  Context->stop();
  Thread.join();
}

void http_server::runOnServer(const std::function<void()> &Function) {
  if (!Thread.joinable())
    return;
  std::promise<void> Done;
  asio::post(*Context, [&] {
    Function();
    Done.set_value();
  });
  Done.get_future().wait();
}

std::size_t http_server::unanswered() {
  std::size_t Count = 0;
  runOnServer([&] { Count = Server ? Server->answeringConnections() : 0; });
  return Count;
}

void http_server::announceClose() {
  runOnServer([this] {
    if (Server)
      Server->announceClose();
  });
}

// Connections beyond the limit close idle ones first.
std::optional<double> http_server::acceptConnection() {
  if (Server && Server->busyConnections() >= Resources.MaxConnections)
    return std::nullopt;
  return 0;
}

std::optional<early_answer> http_server::checkHead(const http_head &Head,
                                                   body_terms &) {
  const auto Path = segmentsOf(Head.Target);
  const error_kind Kind =
      !Path ? error_kind::BadRequest : error_kind::UnknownRoute;
  if (Path &&
      std::any_of(Routes.begin(), Routes.end(), [&](const http_route &Route) {
        return matches(Route, *Path);
      }))
    return std::nullopt;
  return early_answer{answerOf(Kind).HttpStatus,
                      fieldsOf(errorHeaders(Kind, answerOf(Kind).Ran)),
                      errorBody(Kind, answerOf(Kind).Ran, "")};
}

void http_server::onDropped(std::string_view Reason) {
  logs::info("caller_dropped", {{"why", std::string(Reason)}});
}

void http_server::onRequest(std::shared_ptr<caller_exchange> Exchange) {
  auto Call = std::make_shared<http_call>();
  Call->Head = Exchange->head();
  Call->Body = Exchange->moveBody();
  const auto Writer =
      std::make_shared<writer>(Context, std::move(Exchange), Tasks);
  Writer->observe();
  Call->Writer = Writer;
  Tasks->run(Tasks, [this, Call = std::move(Call)] {
    auto Path = segmentsOf(Call->Head.Target);
    if (!Path)
      return Call->fail(error_kind::BadRequest);
    Call->Path = std::move(*Path);
    route(Call);
  });
}

void http_server::route(const std::shared_ptr<http_call> &Call) const {
  std::string Allowed;
  const std::string Method = Call->Head.Method;
  for (const http_route &Route : Routes) {
    if (!matches(Route, Call->Path))
      continue;
    Allowed += (Allowed.empty() ? "" : ", ") + Route.Method;
    if (Route.Method != "*" && Route.Method != Method)
      continue;
    try {
      return Route.Handler(Call);
    } catch (const std::exception &Error) {
      logs::warning("handler_failed", {{"what", Error.what()}});
      return Call->fail(error_kind::Internal);
    }
  }
  if (Allowed.empty())
    return Call->fail(error_kind::UnknownRoute);
  const error_kind Kind = error_kind::MethodNotAllowed;
  auto Headers = errorHeaders(Kind, run_state::NotRun);
  Headers.emplace_back("Allow", Allowed);
  Call->Writer->sendComplete(answerOf(Kind).HttpStatus, Headers,
                             errorBody(Kind, run_state::NotRun, ""));
}

} // namespace clementinelane
