#include "store.h"

#include "query.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

namespace clementinelane::standin {

namespace {

constexpr std::size_t LengthPrefixBytes = 4;

std::string bigEndian(std::uint64_t Value, std::size_t Bytes) {
  std::string Text;
  for (std::size_t I = Bytes; I-- > 0;)
    Text += static_cast<char>(Value >> (8 * I) & 0xffU);
  return Text;
}

std::string withLength(const std::string &Content) {
  return bigEndian(Content.size(), LengthPrefixBytes) + Content;
}

std::string base64(const std::string &Bytes) {
  namespace detail = boost::beast::detail::base64;
  std::string Text(detail::encoded_size(Bytes.size()), '\0');
  Text.resize(detail::encode(Text.data(), Bytes.data(), Bytes.size()));
  return Text;
}

/// A JSON string of the bytes as they stand, whether they are UTF-8 or not.
std::string jsonString(std::string_view Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text = "\"";
  for (const char Byte : Bytes) {
    const auto Code = static_cast<unsigned char>(Byte);
    if (Byte == '"' || Byte == '\\')
      Text += '\\';
    if (Code < ' ') {
      Text += "\\u00";
      Text += Digits[Code >> 4U];
      Text += Digits[Code & 0xfU];
    } else {
      Text += Byte;
    }
  }
  return Text + '"';
}

bool isKeyed(const std::string &Topic) { return Topic.starts_with("keyed."); }

constexpr std::array<std::pair<std::string_view, store_fault>, 5> FaultNames{{
    {"none", store_fault::None},
    {"busy", store_fault::Busy},
    {"silent", store_fault::Silent},
    {"reset", store_fault::Reset},
    {"lose_answers", store_fault::LoseAnswers},
}};

} // namespace

platform_store::platform_store(boost::asio::io_context &Context,
                               std::string_view Address)
    : Context(Context),
      Server(Context, Address, [this](const exchange_ptr &Exchange) {
        handleRequest(Exchange);
      }) {}

void platform_store::put(const std::string &Topic, const std::string &Key,
                         const std::string &Value) {
  add(Topic, std::string(1, static_cast<char>(Key.size())) + Key + Value);
}

void platform_store::remove(const std::string &Topic, const std::string &Key) {
  put(Topic, Key, {});
}

std::optional<std::string>
platform_store::newest(const std::string &Topic, const std::string &Key) const {
  const auto Found = Topics.find(Topic);
  if (Found == Topics.end())
    return std::nullopt;
  const auto Record = Found->second.Newest.find(Key);
  if (Record == Found->second.Newest.end())
    return std::nullopt;
  return Record->second.first;
}

void platform_store::compact(const std::string &Topic) {
  topic &Kept = Topics[Topic];
  Kept.First = Kept.end();
  Kept.Records.clear();
}

void platform_store::restoreCopy() {
  Topics = Copy;
  ++Era;
  for (const waiting &Each : std::exchange(Waiting, {}))
    Each.Exchange->abortAnswer();
}

void platform_store::answer(caller_exchange &Exchange, unsigned Status,
                            std::vector<http_field> Fields,
                            std::string_view Body) const {
  Fields.push_back({"Store-Era", std::to_string(Era)});
  Exchange.answer(Status, std::move(Fields), Body);
}

void platform_store::answerJson(caller_exchange &Exchange, unsigned Status,
                                std::string_view Json) const {
  answer(Exchange, Status, {{"Content-Type", "application/json"}}, Json);
}

void platform_store::add(const std::string &Name, std::string Record) {
  topic &Topic = Topics[Name];
  if (isKeyed(Name) && !Record.empty()) {
    const auto KeyBytes = static_cast<unsigned char>(Record[0]);
    const std::string Key = Record.substr(1, KeyBytes);
    const std::string Value = Record.substr(1U + KeyBytes);
    if (Value.empty())
      Topic.Newest.erase(Key);
    else
      Topic.Newest[Key] = {Value, Topic.end()};
  }
  Topic.Records.push_back(withLength(Record));
  wake(Name);
}

void platform_store::wake(const std::string &Name) {
  for (auto Each = Waiting.begin(); Each != Waiting.end();) {
    if (Each->Topic != Name) {
      ++Each;
      continue;
    }
    const waiting Ready = std::move(*Each);
    Each = Waiting.erase(Each);
    answerRead(*Ready.Exchange, Topics[Name], Ready.From);
  }
}

bool platform_store::handleControl(const exchange_ptr &Exchange) {
  const std::string &Target = Exchange->head().Target;
  if (!Target.starts_with("/standin/"))
    return false;
  if (Target.starts_with("/standin/put")) {
    put(queryValue(Target, "topic"), queryValue(Target, "key"),
        Exchange->body());
  } else if (Target.starts_with("/standin/newest")) {
    Exchange->answer(
        200, {},
        newest(queryValue(Target, "topic"), queryValue(Target, "key"))
            .value_or(""));
    return true;
  } else if (Target.starts_with("/standin/listings")) {
    Exchange->answer(200, {}, std::to_string(Listings));
    return true;
  } else if (Target.starts_with("/standin/item")) {
    listItem(queryValue(Target, "topic"), queryValue(Target, "key"),
             std::string(Exchange->body()));
  } else if (Target.starts_with("/standin/pages")) {
    setPageSize(queryNumber(Target, "size"));
  } else if (Target.starts_with("/standin/copy")) {
    keepCopy();
  } else if (Target.starts_with("/standin/restore")) {
    restoreCopy();
  } else if (Target.starts_with("/standin/compact")) {
    compact(queryValue(Target, "topic"));
  } else {
    const std::string Name = queryValue(Target, "name");
    for (const auto &[Each, Value] : FaultNames)
      if (Each == Name)
        Fault = Value;
  }
  Exchange->answer(200, {}, "ok\n");
  return true;
}

bool platform_store::isFaulty(const exchange_ptr &Exchange) {
  switch (Fault) {
  case store_fault::Busy:
    answer(*Exchange, 503, {}, {});
    return true;
  case store_fault::Silent:
    Unanswered.push_back(Exchange);
    return true;
  case store_fault::Reset:
    Exchange->abortAnswer();
    return true;
  default:
    return false;
  }
}

bool platform_store::answerAsSet(caller_exchange &Exchange) const {
  for (const auto &[Part, Body] : Answers) {
    if (Exchange.head().Target.find(Part) == std::string::npos)
      continue;
    answer(Exchange, 200, {}, Body);
    return true;
  }
  return false;
}

void platform_store::handleRequest(const exchange_ptr &Exchange) {
  if (handleControl(Exchange) || isFaulty(Exchange))
    return;
  const std::string_view Target = Exchange->head().Target;
  Listings += Target.starts_with("/api/log-newest") ? 1 : 0;
  Reads += Target.starts_with("/api/log-read") ? 1 : 0;
  if (answerAsSet(*Exchange))
    return;
  if (Target.starts_with("/api/log-append"))
    append(Exchange);
  else if (Target.starts_with("/api/log-read"))
    read(Exchange);
  else if (Target.starts_with("/api/log-newest"))
    listNewest(Exchange);
  else
    answer(*Exchange, 404, {}, {});
}

void platform_store::append(const exchange_ptr &Exchange) {
  const std::string &Target = Exchange->head().Target;
  const std::string Name = queryValue(Target, "topic");
  const topic &Topic = Topics[Name];
  if (const std::string At = queryValue(Target, "at");
      !At.empty() && std::stoull(At) != Topic.end()) {
    answerJson(*Exchange, 412,
               nlohmann::json{{"end_offset", Topic.end()}}.dump());
    return;
  }
  const std::uint64_t First = Topic.end();
  std::string_view Body = Exchange->body();
  while (Body.size() >= LengthPrefixBytes) {
    std::size_t Length = 0;
    for (const char Byte : Body.substr(0, LengthPrefixBytes))
      Length = Length << 8U | static_cast<unsigned char>(Byte);
    add(Name, std::string(Body.substr(LengthPrefixBytes, Length)));
    Body.remove_prefix(std::min(Body.size(), LengthPrefixBytes + Length));
  }
  if (Fault == store_fault::LoseAnswers) {
    Exchange->abortAnswer();
    return;
  }
  answerJson(
      *Exchange, 200,
      nlohmann::json{{"offset", First}, {"end_offset", Topics[Name].end()}}
          .dump());
}

void platform_store::read(const exchange_ptr &Exchange) {
  const std::string &Target = Exchange->head().Target;
  const std::string Name = queryValue(Target, "topic");
  const std::uint64_t From = queryNumber(Target, "source");
  const std::uint64_t Wait = queryNumber(Target, "wait_timeout_ms");
  topic &Topic = Topics[Name];
  if (From < Topic.First || From > Topic.end()) {
    answerJson(*Exchange, 410,
               nlohmann::json{{"first_offset", Topic.First}}.dump());
    return;
  }
  if (From < Topic.end() || Wait == 0) {
    answerRead(*Exchange, Topic, From);
    return;
  }
  auto Timer = std::make_unique<boost::asio::steady_timer>(
      Context, std::chrono::milliseconds(Wait));
  Timer->async_wait([this, Exchange](const boost::system::error_code &Error) {
    if (Error)
      return;
    const auto Each =
        std::find_if(Waiting.begin(), Waiting.end(), [&](const waiting &One) {
          return One.Exchange == Exchange;
        });
    if (Each == Waiting.end())
      return;
    answerRead(*Exchange, Topics[Each->Topic], Each->From);
    Waiting.erase(Each);
  });
  Waiting.push_back({Exchange, Name, From, std::move(Timer)});
}

void platform_store::answerRead(caller_exchange &Exchange, const topic &Topic,
                                std::uint64_t From) {
  std::string Body = bigEndian(Topic.end(), 8) + bigEndian(Topic.First, 8);
  for (std::uint64_t At = std::max(From, Topic.First); At < Topic.end(); ++At)
    Body += Topic.Records[At - Topic.First];
  answer(Exchange, 200, {}, Body);
}

void platform_store::addBytes(const std::string &Topic, std::string Bytes) {
  Topics[Topic].Records.push_back(std::move(Bytes));
  wake(Topic);
}

void platform_store::listNewest(const exchange_ptr &Exchange) {
  const std::string &Target = Exchange->head().Target;
  const topic &Topic = Topics[queryValue(Target, "topic")];
  const std::string After = queryValue(Target, "after");
  std::map<std::string, std::string> Items = Topic.Items;
  for (const auto &[Key, Record] : Topic.Newest)
    Items[Key] = "{\"key\":" + jsonString(Key) + ",\"value\":\"" +
                 base64(Record.first) +
                 "\",\"offset\":" + std::to_string(Record.second) + "}";
  auto At = After.empty() ? Items.begin() : Items.upper_bound(After);
  std::string Page;
  for (std::size_t Listed = 0; At != Items.end() && Listed < PageSize;
       ++At, ++Listed)
    Page += (Page.empty() ? "" : ",") + At->second;
  answerJson(*Exchange, 200,
             "{\"items\":[" + Page +
                 "],\"has_more\":" + (At != Items.end() ? "true" : "false") +
                 ",\"end_offset\":" + std::to_string(Topic.end()) + "}");
}

} // namespace clementinelane::standin
