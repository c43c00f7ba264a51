#include "configuration_intake.h"

#include "config.h"
#include "deflate.h"
#include "message_pack.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace clementinelane {

namespace {

using json = nlohmann::json;

/// Between questions to peers; less than a tick.
constexpr auto PeerAskInterval = std::chrono::milliseconds(80);
constexpr std::size_t QueryFields = 1;
constexpr std::size_t ReplyFields = 3;

std::string toBytes(const json &Body) {
  std::string Bytes;
  json::to_msgpack(Body, Bytes);
  return Bytes;
}

} // namespace

std::string encodeConfigurationQuery(const configuration_query &Query) {
  auto Body = json::array();
  Body.push_back(Query.WantsContent ? 1 : 0);
  return toBytes(Body);
}

std::optional<configuration_query>
decodeConfigurationQuery(std::string_view Bytes) {
  try {
    const json Body = decodeMessagePack(Bytes);
    if (!Body.is_array() || Body.size() < QueryFields)
      return std::nullopt;
    return configuration_query{Body[0].get<unsigned>() != 0};
  } catch (const json::exception &) {
    return std::nullopt; // the caller logs malformed queries
  }
}

std::string encodeConfigurationReply(const configuration_reply &Reply) {
  std::string Content =
      Reply.Content.empty() ? std::string{} : deflate(Reply.Content);
  if (Content.size() > config::MaxRelayReplyBytes)
    Content.clear();
  const auto *const Bytes =
      reinterpret_cast<const std::uint8_t *>(Content.data());
  return toBytes({Reply.Version, Reply.Era,
                  json::binary({Bytes, Bytes + Content.size()})});
}

std::optional<configuration_reply>
decodeConfigurationReply(std::string_view Bytes) {
  try {
    const json Body = decodeMessagePack(Bytes);
    if (!Body.is_array() || Body.size() < ReplyFields)
      return std::nullopt;
    configuration_reply Reply{
        Body[0].get<std::uint64_t>(), Body[1].get<std::uint64_t>(), {}};
    const json::binary_t &Content = Body[2].get_binary();
    if (Content.empty())
      return Reply;
    auto Inflated = inflate(
        {reinterpret_cast<const char *>(Content.data()), Content.size()},
        config::MaxConfigurationBytes);
    if (!Inflated)
      return std::nullopt;
    Reply.Content = *std::move(Inflated);
    return Reply;
  } catch (const json::exception &) {
    return std::nullopt; // the caller logs malformed replies
  }
}

void configuration_intake::setPeers(std::vector<std::string> Addresses,
                                    mono_time Now) {
  if (AskedSince)
    return;
  AskedSince = Now;
  if (Addresses.empty()) {
    IsSettled = true;
    return;
  }
  std::sort(Addresses.begin(), Addresses.end());
  std::rotate(Addresses.begin(),
              Addresses.begin() +
                  static_cast<std::ptrdiff_t>(Seed % Addresses.size()),
              Addresses.end());
  Unanswered = std::move(Addresses);
}

void configuration_intake::setInUse(std::uint64_t Version) {
  InUse = std::max(InUse, Version);
  if (!isBehind())
    BehindSince.reset();
}

void configuration_intake::noteVersion(const std::string &Peer,
                                       std::uint64_t Version, mono_time Now) {
  if (Version < Newest || Version == 0)
    return;
  if (Version > Newest)
    Holders.clear();
  Newest = Version;
  if (Holders.size() < config::MaxConfigurationHolders)
    Holders.insert(Peer);
  if (isBehind() && !BehindSince)
    BehindSince = Now;
}

void configuration_intake::noteAnswer(const std::string &Peer,
                                      std::uint64_t Version, mono_time Now) {
  noteVersion(Peer, Version, Now);
  const auto Found = std::find(Unanswered.begin(), Unanswered.end(), Peer);
  if (Found == Unanswered.end())
    return;
  Next -=
      Found - Unanswered.begin() < static_cast<std::ptrdiff_t>(Next) ? 1 : 0;
  Unanswered.erase(Found);
  Informed += Version > 0 ? 1 : 0;
  if (Unanswered.empty() || Informed >= config::EnoughInformedPeers)
    IsSettled = true;
}

void configuration_intake::confirm(mono_time SentAt, mono_time Now) {
  if (!FirstConfirmedAt)
    FirstConfirmedAt = Now;
  ConfirmedAt = std::max(ConfirmedAt.value_or(SentAt), SentAt);
}

// Load: all routers of a large fleet start at once, and each has hundreds of
// peers on its list. Asking all of them would cost as many datagrams as the
// square of the fleet, and asking again on each answer many times that.
std::vector<configuration_intake::ask>
configuration_intake::takeAsks(mono_time Now) {
  std::vector<ask> Asks;
  const bool IsAskDue = !LastAskedAt || Now - *LastAskedAt >= PeerAskInterval;
  if (AskedSince && IsAskDue && !mayGoByStore(Now)) {
    LastAskedAt = Now;
    const std::size_t Count =
        std::min(Unanswered.size(), config::PeersAskedAtOnce);
    for (std::size_t Each = 0; Each < Count; ++Each)
      Asks.push_back({Unanswered[(Next + Each) % Unanswered.size()], false});
    Next = Unanswered.empty() ? 0 : (Next + Count) % Unanswered.size();
  }
  // A router that serves is usually behind only until its next poll.
  const bool IsFetchDue =
      isBehind() && ConfirmedAt &&
      (!HasCounted || Now - *BehindSince >= config::ConfigurationFetchDelay) &&
      (!ContentAskedAt ||
       Now - *ContentAskedAt >= config::ConfigurationFetchInterval);
  if (IsFetchDue && !Holders.empty()) {
    ContentAskedAt = Now;
    const auto Holder = std::next(
        Holders.begin(),
        static_cast<std::ptrdiff_t>((Seed + ContentAsks++) % Holders.size()));
    Asks.push_back({*Holder, true});
  }
  return Asks;
}

bool configuration_intake::mayGoByStore(mono_time Now) {
  if (IsSettled)
    return true;
  IsSettled = AskedSince ? Now - *AskedSince >= config::PeerAnswersTimeout
                         : FirstConfirmedAt && Now - *FirstConfirmedAt >=
                                                   config::PeersKnownTimeout;
  return IsSettled;
}

std::optional<mono_time> configuration_intake::confirmation(mono_time Now) {
  if (InUse == 0 || isBehind() || !mayGoByStore(Now))
    return std::nullopt;
  HasCounted = HasCounted || ConfirmedAt.has_value();
  return ConfirmedAt;
}

} // namespace clementinelane
