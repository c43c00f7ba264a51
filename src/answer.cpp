#include "answer.h"

#include <cmath>
#include <cpprest/json.h>
#include <random>

namespace clementinelane {

namespace {

std::string jsonText(std::string_view Text) {
  return web::json::value::string(std::string(Text)).serialize();
}

std::string usageJson(const request_action::send_end &End) {
  return R"({"prompt_tokens":)" + std::to_string(End.PromptTokens) +
         R"(,"completion_tokens":)" + std::to_string(End.CompletionTokens) +
         R"(,"total_tokens":)" +
         std::to_string(End.PromptTokens + End.CompletionTokens) + "}";
}

double jitter() {
  thread_local std::minstd_rand Random{std::random_device{}()};
  return std::uniform_real_distribution<>(0, 1)(Random);
}

} // namespace

std::string retryAfterSeconds(error_kind Kind,
                              std::chrono::milliseconds BaseDelay,
                              double JitterFraction) {
  const error_answer &Answer = answerOf(Kind);
  if (BaseDelay.count() == 0)
    BaseDelay = Answer.RetryAfter;
  if (!Answer.Retryable || BaseDelay.count() == 0)
    return {};
  // Load: many callers refused at the same moment. Harm prevented: all retrying
  // at the same moment. The delays are spread between one and two times the
  // base delay.
  const double Seconds =
      static_cast<double>(BaseDelay.count()) / 1000 * (1 + JitterFraction);
  return std::to_string(static_cast<long>(std::ceil(Seconds)));
}

std::string errorBody(error_kind Kind, run_state Ran,
                      std::string_view RequestId) {
  const error_answer &Answer = answerOf(Kind);
  return R"({"error":{"message":)" + jsonText(Answer.Message) + R"(,"type":")" +
         std::string(Answer.Name) + R"(","code":")" + std::string(Answer.Name) +
         R"(","ran":")" + std::string(nameOf(Ran)) + R"(","request_id":)" +
         jsonText(RequestId) + "}}";
}

std::vector<answer_header> errorHeaders(error_kind Kind, run_state Ran,
                                        std::chrono::milliseconds RetryAfter) {
  std::vector<answer_header> Headers{
      {"Content-Type", "application/json"},
      {"X-Error-Kind", std::string(answerOf(Kind).Name)},
      {"X-Ran", std::string(nameOf(Ran))}};
  if (std::string Wait = retryAfterSeconds(Kind, RetryAfter, jitter());
      !Wait.empty())
    Headers.emplace_back("Retry-After", std::move(Wait));
  return Headers;
}

std::vector<answer_header>
answer_formatter::headers(std::string ContentType) const {
  std::vector<answer_header> Headers{{"Content-Type", std::move(ContentType)},
                                     {"X-Request-Id", Context.RequestId},
                                     {"X-Ran", "ran"}};
  if (!Context.IsService)
    Headers.emplace_back("X-Version", Head.Version);
  if (!Context.SessionToken.empty())
    Headers.emplace_back("X-Session-Token", Context.SessionToken);
  return Headers;
}

void answer_formatter::head(const request_action::send_head &Begin) {
  Head = Begin;
  if (!Context.Streamed)
    return;
  IsStreamStarted = true;
  Writer->begin(Head.Status, headers("text/event-stream"));
  writeEvent(R"({"role":"assistant"})", "", "");
}

void answer_formatter::writeEvent(std::string_view DeltaJson,
                                  std::string_view FinishReason,
                                  std::string_view Usage) {
  std::string Event = R"(data: {"id":)" + jsonText(Context.RequestId) +
                      R"(,"object":"chat.completion.chunk","created":)" +
                      std::to_string(Context.CreatedAt) + R"(,"model":)" +
                      jsonText(Head.Version) +
                      R"(,"choices":[{"index":0,"delta":)";
  Event.append(DeltaJson);
  Event += R"(,"finish_reason":)";
  Event += FinishReason.empty() ? "null" : jsonText(FinishReason);
  Event += "}]";
  if (!Usage.empty())
    Event.append(R"(,"usage":)").append(Usage);
  Writer->write(Event + "}\n\n");
}

void answer_formatter::tokens(std::span<const answer_token> Tokens) {
  for (const answer_token &Token : Tokens) {
    if (Context.Streamed)
      writeEvent(R"({"content":)" + jsonText(Token.Text) + "}", "", "");
    else
      Text += Token.Text;
  }
}

void answer_formatter::end(const request_action::send_end &End) {
  if (Context.Streamed) {
    writeEvent("{}", End.FinishReason, usageJson(End));
    Writer->write("data: [DONE]\n\n");
    return Writer->end();
  }
  if (Context.IsService)
    return Writer->sendComplete(Head.Status, headers(Head.ContentType), Text);
  const std::string Body =
      R"({"id":)" + jsonText(Context.RequestId) +
      R"(,"object":"chat.completion","created":)" +
      std::to_string(Context.CreatedAt) + R"(,"model":)" +
      jsonText(Head.Version) +
      R"(,"choices":[{"index":0,"message":{"role":"assistant","content":)" +
      jsonText(Text) + R"(},"finish_reason":)" + jsonText(End.FinishReason) +
      R"(}],"usage":)" + usageJson(End) + "}";
  Writer->sendComplete(Head.Status, headers("application/json"), Body);
}

void answer_formatter::error(const request_action::send_error &Error) {
  const auto &[Kind, Ran, RetryAfter] = Error;
  const std::string Body = errorBody(Kind, Ran, Context.RequestId);
  if (!IsStreamStarted)
    return Writer->sendComplete(answerOf(Kind).HttpStatus,
                                errorHeaders(Kind, Ran, RetryAfter), Body);
  // The status has been sent already. The stream ends with an error event and
  // without [DONE], so that no caller takes a truncated answer as complete.
  Writer->write("data: " + Body + "\n\n");
  Writer->end();
}

void answer_formatter::replay(const kept_answer &Answer) {
  if (!Context.IsService) {
    head({Answer.Status, Answer.ContentType, Answer.Version});
    const answer_token Token{0, Answer.Body};
    tokens({&Token, 1});
    return end({0, 0, "stop"});
  }
  std::vector<answer_header> Headers = headers(Answer.ContentType);
  Headers.emplace_back("Idempotent-Replayed", "true");
  Writer->sendComplete(Answer.Status, Headers, Answer.Body);
}

} // namespace clementinelane
