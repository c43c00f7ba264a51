#include "endpoint_client.h"

#include "config.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cpprest/http_client.h>
#include <cpprest/rawptrstream.h>
#include <map>
#include <mutex>

namespace clementinelane {

namespace {

namespace http = web::http;
using client_ptr = std::shared_ptr<http::client::http_client>;

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DataPrefix = "data: ";
constexpr std::string_view LastEvent = "[DONE]";
/// Bytes taken from a stream at once.
constexpr std::size_t ReadBytes = 8192;

http::http_request makeChatRequest(const caller_request &Request,
                                   const endpoint_call &Call) {
  auto Body = web::json::value::parse(Request.Body);
  Body["model"] = web::json::value::string(Call.Version);
  Body["stream"] = web::json::value::boolean(true);
  Body["request_id"] = web::json::value::string(Request.Id);
  Body["attempt"] = web::json::value::number(Call.Attempt);
  Body["priority"] =
      web::json::value::string(std::string(nameOf(Request.Priority)));
  if (Call.ResumeFrom > 0) {
    Body["resume_from"] = web::json::value::number(Call.ResumeFrom);
    Body["resume_text"] = web::json::value::string(Call.SoFar);
  }
  http::http_request Out(http::methods::POST);
  Out.set_request_uri("/v1/chat/completions");
  Out.set_body(Body);
  return Out;
}

http::http_request makeServiceRequest(const caller_request &Request) {
  http::http_request Out(Request.Method);
  Out.set_request_uri(Request.Path.empty() ? "/" : Request.Path);
  if (!Request.Body.empty())
    Out.set_body(Request.Body, Request.ContentType.empty()
                                   ? "application/octet-stream"
                                   : Request.ContentType);
  return Out;
}

} // namespace

class http_endpoint_transport::impl
    : public std::enable_shared_from_this<impl> {
public:
  explicit impl(timer_service &Timers) : Timers(Timers) {}

  client_ptr clientOf(const std::string &Address) {
    const std::scoped_lock Lock(Mutex);
    client_ptr &Client = Clients[Address];
    if (!Client) {
      http::client::http_client_config Config;
      // Progress is watched here, by byte; the library's limit is a backstop.
      Config.set_timeout(std::chrono::seconds(config::MaxDeadline));
      Client = std::make_shared<http::client::http_client>("http://" + Address,
                                                           Config);
    }
    return Client;
  }

  void dropConnections(std::string_view Address) {
    const std::scoped_lock Lock(Mutex);
    Clients.erase(std::string(Address));
  }

  void track(const std::string &Id, const pplx::cancellation_token_source &By) {
    const std::scoped_lock Lock(Mutex);
    Open.insert_or_assign(Id, By);
  }

  void forget(const std::string &Id) {
    const std::scoped_lock Lock(Mutex);
    Open.erase(Id);
  }

  void cancel(const std::string &Id) {
    const std::scoped_lock Lock(Mutex);
    const auto Node = Open.extract(Id);
    if (!Node.empty())
      Node.mapped().cancel();
  }

  timer_service &Timers;

private:
  std::mutex Mutex;
  std::map<std::string, client_ptr> Clients;
  std::map<std::string, pplx::cancellation_token_source> Open;
};

namespace {

std::string exchangeId(std::string_view RequestId, unsigned Attempt) {
  return std::string(RequestId) + "#" + std::to_string(Attempt);
}

} // namespace

/// One attempt: reads the answer as it comes and watches its progress.
class exchange : public std::enable_shared_from_this<exchange> {
public:
  exchange(timer_service &Timers, client_ptr Client,
           const caller_request &Request, const endpoint_call &Call,
           exchange_events Events, std::function<void()> OnEnd)
      : Timers(Timers), Client(std::move(Client)), Id(Request.Id),
        Traceparent(Request.Traceparent),
        IdempotencyKey(Request.IdempotencyKey), IsService(Request.IsService),
        Attempt(Call.Attempt), Events(std::move(Events)),
        OnEnd(std::move(OnEnd)) {}

  pplx::cancellation_token_source canceller() const { return Canceller; }

  void run(http::http_request Request) {
    Request.headers().add("X-Request-Id", Id);
    if (!Traceparent.empty())
      Request.headers().add("traceparent", Traceparent);
    if (!IdempotencyKey.empty())
      Request.headers().add("Idempotency-Key", IdempotencyKey);
    watch(config::FirstByteTimeout);
    Client->request(Request, Canceller.get_token())
        .then([Self = shared_from_this()](
                  const pplx::task<http::http_response> &Task) {
          Self->guarded([&] { Self->onHead(Task.get()); });
        });
  }

private:
  /// Turns an exception of the library into a failed attempt.
  template <typename F> void guarded(F Run) {
    try {
      Run();
    } catch (const http::http_exception &Error) {
      const bool NeverSent =
          Error.error_code() == std::errc::connection_refused ||
          Error.error_code() == std::errc::host_unreachable;
      end(request_event::failed{Attempt, error_kind::EndpointFailed,
                                NeverSent ? run_state::NotRun
                                          : run_state::MayHaveRun});
    } catch (const std::exception &) {
      end(request_event::failed{Attempt, error_kind::EndpointFailed,
                                run_state::MayHaveRun});
    }
  }

  void onHead(const http::http_response &Answer) {
    Response = Answer;
    const auto Status = Response.status_code();
    if (Status == http::status_codes::ServiceUnavailable ||
        Status == http::status_codes::TooManyRequests)
      return end(request_event::failed{Attempt, error_kind::EndpointRefused,
                                       run_state::NotRun});
    if (IsService) {
      Events(request_event::head{Attempt, Status,
                                 Response.headers().content_type()});
      return readWhole();
    }
    if (Status != http::status_codes::OK)
      return end(request_event::failed{Attempt, error_kind::EndpointFailed,
                                       run_state::MayHaveRun});
    Events(request_event::head{Attempt, Status, "application/json"});
    watch(config::BetweenBytesTimeout);
    Body = Response.body().streambuf();
    readMore();
  }

  void readWhole() {
    Response.extract_vector().then(
        [Self = shared_from_this()](
            const pplx::task<std::vector<unsigned char>> &Task) {
          Self->guarded([&] {
            const auto Bytes = Task.get();
            if (!Bytes.empty())
              Self->Events(request_event::tokens{
                  Self->Attempt,
                  {{0, std::string(Bytes.begin(), Bytes.end())}}});
            Self->end(request_event::finished{Self->Attempt, 0, 0, "stop"});
          });
        });
  }

  // A plain getn(n) would wait for n bytes; one byte and then what is there
  // passes each token on as it comes.
  void readMore() {
    Body.bumpc().then([Self = shared_from_this()](const pplx::task<int> &Task) {
      Self->guarded([&] {
        const int First = Task.get();
        if (First == concurrency::streams::char_traits<unsigned char>::eof())
          return Self->end(request_event::failed{Self->Attempt,
                                                 error_kind::EndpointFailed,
                                                 run_state::MayHaveRun});
        Self->Pending += static_cast<char>(First);
        Self->readAvailable();
      });
    });
  }

  void readAvailable() {
    const std::size_t Count = std::min(Body.in_avail(), ReadBytes);
    if (Count == 0)
      return onBytes();
    Body.getn(Chunk.data(), Count)
        .then([Self = shared_from_this()](const pplx::task<std::size_t> &Task) {
          Self->guarded([&] {
            Self->Pending.append(
                reinterpret_cast<const char *>(Self->Chunk.data()), Task.get());
            Self->onBytes();
          });
        });
  }

  void onBytes() {
    watch(config::BetweenBytesTimeout);
    std::vector<answer_token> Tokens;
    std::size_t Begin = 0;
    for (auto Split = Pending.find(EventEnd); Split != std::string::npos;
         Split = Pending.find(EventEnd, Begin)) {
      const std::string_view Event =
          std::string_view(Pending).substr(Begin, Split - Begin);
      Begin = Split + EventEnd.size();
      if (Event.substr(0, DataPrefix.size()) != DataPrefix)
        continue;
      readEvent(Event.substr(DataPrefix.size()), Tokens);
    }
    Pending.erase(0, Begin);
    if (!Tokens.empty())
      Events(request_event::tokens{Attempt, std::move(Tokens)});
    if (IsWhole)
      return end(Finish);
    readMore();
  }

  void readEvent(std::string_view Data, std::vector<answer_token> &Tokens) {
    if (Data == LastEvent) {
      IsWhole = true;
      return;
    }
    const auto Json = web::json::value::parse(std::string(Data));
    const auto &Choice = Json.at("choices").as_array().at(0);
    const auto &Delta = Choice.at("delta");
    if (Delta.has_string_field("content"))
      Tokens.push_back({Json.at("token_index").as_number().to_uint64(),
                        Delta.at("content").as_string()});
    if (Choice.has_string_field("finish_reason"))
      Finish.FinishReason = Choice.at("finish_reason").as_string();
    if (Json.has_number_field("confidence"))
      Finish.Confidence = Json.at("confidence").as_double();
    if (Json.has_object_field("usage")) {
      const auto &Usage = Json.at("usage");
      Finish.PromptTokens = Usage.at("prompt_tokens").as_number().to_uint64();
      Finish.CompletionTokens =
          Usage.at("completion_tokens").as_number().to_uint64();
    }
  }

  void watch(duration Limit) {
    Timers.cancel(Timer);
    Timer = Timers.after(Limit, [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->end(request_event::silent{Self->Attempt});
    });
  }

  void end(request_input Event) {
    if (Ended.exchange(true))
      return;
    Timers.cancel(Timer);
    // A silent exchange stays known, so that cancel() can close its connection.
    if (!std::holds_alternative<request_event::silent>(Event))
      OnEnd();
    Events(std::move(Event));
  }

  timer_service &Timers;
  client_ptr Client;
  std::string Id;
  std::string Traceparent;
  std::string IdempotencyKey;
  bool IsService;
  unsigned Attempt;
  exchange_events Events;
  std::function<void()> OnEnd;
  pplx::cancellation_token_source Canceller;
  http::http_response Response;
  concurrency::streams::streambuf<unsigned char> Body;
  std::array<unsigned char, ReadBytes> Chunk{};
  std::string Pending;
  request_event::finished Finish{};
  bool IsWhole = false;
  timer_service::handle Timer;
  std::atomic<bool> Ended{false};
};

http_endpoint_transport::http_endpoint_transport(timer_service &Timers)
    : Impl(std::make_shared<impl>(Timers)) {}
http_endpoint_transport::~http_endpoint_transport() = default;

void http_endpoint_transport::start(const caller_request &Request,
                                    const endpoint_call &Call,
                                    exchange_events Events) {
  const std::string Id = exchangeId(Request.Id, Call.Attempt);
  auto Exchange = std::make_shared<exchange>(
      Impl->Timers, Impl->clientOf(Call.Address), Request, Call,
      [Call, Events = std::move(Events)](request_input Event) {
        if (auto *Finished = std::get_if<request_event::finished>(&Event))
          Finished->Attempt = Call.Attempt;
        Events(std::move(Event));
      },
      [Impl = Impl, Id] { Impl->forget(Id); });
  Impl->track(Id, Exchange->canceller());
  Exchange->run(Request.IsService ? makeServiceRequest(Request)
                                  : makeChatRequest(Request, Call));
}

void http_endpoint_transport::cancel(std::string_view RequestId,
                                     unsigned Attempt) {
  Impl->cancel(exchangeId(RequestId, Attempt));
}

void http_endpoint_transport::dropConnections(std::string_view Address) {
  Impl->dropConnections(Address);
}

} // namespace clementinelane
