#include "read_relay.h"

#include "config.h"
#include "deflate.h"
#include "hashing.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

namespace clementinelane {

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

/// Fields of a question, an answer and a record, in their order on the wire.
constexpr std::size_t QuestionFields = 4;
constexpr std::size_t AnswerFields = 7;
constexpr std::size_t RecordFields = 4;
constexpr std::size_t NewsFields = 2;

std::string toBytes(const json &Body) {
  std::string Bytes;
  json::to_msgpack(Body, Bytes);
  return Bytes;
}

std::size_t sizeOf(const topic_record &Record) {
  return Record.Key.size() + (Record.Value ? Record.Value->size() : 0);
}

json encodeRecordBody(const topic_record &Record, mono_time Now) {
  return {Record.Offset, Record.Key,
          Record.Value ? json(*Record.Value) : json(nullptr),
          std::chrono::floor<milliseconds>(Now - Record.ReadAt).count()};
}

/// False if the bytes are no records; may throw json::exception.
bool unpackRecords(const json::binary_t &Packed, mono_time PackedAt,
                   std::vector<topic_record> &Out) {
  const auto Bytes =
      inflate({reinterpret_cast<const char *>(Packed.data()), Packed.size()},
              2 * config::MaxRelayAnswerBytes);
  if (!Bytes)
    return false;
  for (const json &Each : json::from_msgpack(*Bytes)) {
    if (!Each.is_array() || Each.size() < RecordFields)
      return false;
    topic_record Record;
    Record.Offset = Each[0].get<std::uint64_t>();
    Record.Key = Each[1].get<std::string>();
    if (!Each[2].is_null())
      Record.Value = Each[2].get<std::string>();
    Record.ReadAt = PackedAt - milliseconds(Each[3].get<std::uint32_t>());
    Out.push_back(std::move(Record));
  }
  return true;
}

} // namespace

std::string encodeQuestion(const relay_question &Question) {
  return toBytes({Question.Number, static_cast<unsigned>(Question.Topic),
                  Question.From, Question.IsListing ? 1 : 0});
}

std::optional<relay_question> decodeQuestion(std::string_view Bytes) {
  try {
    const json Body = json::from_msgpack(Bytes.begin(), Bytes.end());
    if (!Body.is_array() || Body.size() < QuestionFields)
      return std::nullopt;
    const auto Topic = Body[1].get<std::size_t>();
    if (Topic >= RelayedTopics)
      return std::nullopt;
    return relay_question{
        Body[0].get<std::uint64_t>(), static_cast<relayed_topic>(Topic),
        Body[2].get<std::uint64_t>(), Body[3].get<unsigned>() != 0};
  } catch (const json::exception &) {
    return std::nullopt; // the caller counts it
  }
}

std::string packRecords(std::span<const topic_record> Records, mono_time Now) {
  auto Body = json::array();
  for (const topic_record &Record : Records)
    Body.push_back(encodeRecordBody(Record, Now));
  return deflate(toBytes(Body));
}

std::string encodeRelayAnswer(const relay_answer &Answer,
                              std::string_view Packed, mono_time PackedAt,
                              mono_time Now) {
  const auto *const Bytes =
      reinterpret_cast<const std::uint8_t *>(Packed.data());
  return toBytes({Answer.Number, Answer.HasGap ? 1 : 0, Answer.CanList ? 1 : 0,
                  Answer.End, Answer.Age.count(),
                  std::chrono::floor<milliseconds>(Now - PackedAt).count(),
                  json::binary({Bytes, Bytes + Packed.size()})});
}

std::string encodeRelayAnswer(const relay_answer &Answer, mono_time Now) {
  return encodeRelayAnswer(Answer, packRecords(Answer.Records, Now), Now, Now);
}

std::optional<relay_answer> decodeRelayAnswer(std::string_view Bytes,
                                              mono_time Now) {
  try {
    const json Body = json::from_msgpack(Bytes.begin(), Bytes.end());
    if (!Body.is_array() || Body.size() < AnswerFields)
      return std::nullopt;
    relay_answer Answer;
    Answer.Number = Body[0].get<std::uint64_t>();
    Answer.HasGap = Body[1].get<unsigned>() != 0;
    Answer.CanList = Body[2].get<unsigned>() != 0;
    Answer.End = Body[3].get<std::uint64_t>();
    Answer.Age = milliseconds(Body[4].get<std::uint32_t>());
    const mono_time PackedAt = Now - milliseconds(Body[5].get<std::uint32_t>());
    if (!unpackRecords(Body[6].get_binary(), PackedAt, Answer.Records))
      return std::nullopt;
    return Answer;
  } catch (const json::exception &) {
    return std::nullopt; // the caller counts it
  }
}

void read_relay::disconnect() {
  Peers = nullptr;
  Asked.clear();
}

void read_relay::proven(relayed_topic Topic, std::uint64_t End,
                        mono_time SentAt) {
  topic &Known = at(Topic);
  const bool IsNew = Known.End != End || !Known.ProvenAt ||
                     SentAt - *Known.ProvenAt > config::MaxRelayedAge;
  Known.End = End;
  Known.ProvenAt = SentAt;
  if (!IsNew)
    return;
  Known.NewsLeft = config::RelayNewsRepeats;
  announce(Topic, SentAt);
}

// Failure: an order is known to the readers, or they have the store back, and
// the others ask up to a pause later. Requests run meanwhile on endpoints that
// a completed roll-out has stopped, or are refused though keys hold again.
void read_relay::announce(relayed_topic Topic, mono_time Now) {
  const bool IsUrgent =
      Topic == relayed_topic::Orders || Topic == relayed_topic::Statuses;
  if (IsUrgent && Peers && isReader(Now))
    Peers->sendNews(toBytes({static_cast<unsigned>(Topic), at(Topic).End}));
}

// Failure: one datagram is lost, and its VM learns of an order a pause later
// than all others.
void read_relay::announceAgain(mono_time Now) {
  for (std::size_t Each = 0; Each < Topics.size(); ++Each) {
    if (Topics[Each].NewsLeft == 0)
      continue;
    --Topics[Each].NewsLeft;
    announce(static_cast<relayed_topic>(Each), Now);
  }
}

void read_relay::takeNews(std::string_view Bytes, mono_time Now) {
  try {
    const json Body = json::from_msgpack(Bytes);
    if (!Body.is_array() || Body.size() < NewsFields)
      return;
    const auto Topic = Body[0].get<std::size_t>();
    if (Topic >= RelayedTopics)
      return;
    topic &Known = Topics[Topic];
    Known.AnnouncedEnd =
        std::max(Known.AnnouncedEnd, Body[1].get<std::uint64_t>());
    const bool IsKnown = Known.End >= Known.AnnouncedEnd && Known.ProvenAt &&
                         Now - *Known.ProvenAt <= config::MaxRelayedAge;
    if (!IsKnown && NewsHandler)
      NewsHandler(static_cast<relayed_topic>(Topic));
  } catch (const json::exception &) {
    return; // the next question finds it out
  }
}

void read_relay::forget(topic &Known, std::uint64_t Offset) {
  const auto Found = Known.Records.find(Offset);
  Known.Bytes -= sizeOf(Found->second) + config::RelayRecordBytes;
  Known.OffsetOf.erase(Found->second.Key);
  Known.Records.erase(Found);
}

// Failure: keys come and go for days and what is kept of them grows. The oldest
// goes; whoever lacks it reads the store.
void read_relay::bound(topic &Known) {
  while (Known.Bytes > config::MaxRelayBytes) {
    const auto &[Offset, Oldest] = *Known.Records.begin();
    Known.IsWhole = Known.IsWhole && !Oldest.Value;
    Known.First = std::max(Known.First, Offset + 1);
    forget(Known, Offset);
  }
}

void read_relay::keep(relayed_topic Topic, const topic_record &Record) {
  topic &Known = at(Topic);
  if (const auto Before = Known.OffsetOf.find(Record.Key);
      Before != Known.OffsetOf.end())
    forget(Known, Before->second);
  Known.Records[Record.Offset] = Record;
  Known.OffsetOf[Record.Key] = Record.Offset;
  Known.Bytes += sizeOf(Record) + config::RelayRecordBytes;
  bound(Known);
}

void read_relay::restart(relayed_topic Topic, std::uint64_t End) {
  topic Anew;
  Anew.WantedAt = at(Topic).WantedAt;
  Anew.AnnouncedEnd = at(Topic).AnnouncedEnd;
  Anew.First = End;
  Anew.End = End;
  at(Topic) = std::move(Anew);
}

void read_relay::listed(relayed_topic Topic,
                        std::span<const topic_record> Records,
                        std::uint64_t End) {
  restart(Topic, End);
  at(Topic).IsWhole = true;
  for (const topic_record &Record : Records)
    keep(Topic, Record);
}

// Load: hundreds of VMs ask two others, some with a quarter of the cores of the
// rest. Harm prevented: a small VM that answers for all is late with its own
// requests and with its answers, so that those who ask read the store, which
// makes it later still. The largest come first, then the order is by a hash, so
// that readers differ from fleet to fleet and are spread over the data centres.
// A peer whose size isn't known yet counts as large as this VM.
std::vector<std::string> read_relay::readers(mono_time Now) const {
  using rank = std::tuple<double, std::uint64_t, std::string>;
  std::vector<rank> Ranks;
  const auto Add = [&Ranks](const std::string &Address, double Size) {
    Ranks.emplace_back(-Size, stableHash(Address), Address);
  };
  if (Peers)
    for (const relay_peer &Peer : Peers->heard(Now))
      Add(Peer.Address, Peer.Cores > 0 ? Peer.Cores : Cores);
  Add(Own, Cores);
  const std::size_t Count = std::min(config::RelayReaders, Ranks.size());
  std::partial_sort(Ranks.begin(),
                    Ranks.begin() + static_cast<std::ptrdiff_t>(Count),
                    Ranks.end());
  std::vector<std::string> Readers;
  for (std::size_t Each = 0; Each < Count; ++Each)
    Readers.push_back(std::get<std::string>(Ranks[Each]));
  return Readers;
}

bool read_relay::isReader(mono_time Now) const {
  const auto Readers = readers(Now);
  return std::find(Readers.begin(), Readers.end(), Own) != Readers.end();
}

bool read_relay::isServed(mono_time Now) const {
  return ServedAt && Now - *ServedAt <= config::MaxRelayedAge;
}

std::optional<std::string> read_relay::readerToAsk(bool HasStoreFailed,
                                                   mono_time Now) const {
  std::vector<std::string> Readers = readers(Now);
  if (std::erase(Readers, Own) > 0 && !HasStoreFailed)
    return std::nullopt;
  if (Readers.empty())
    return std::nullopt;
  return Readers[(stableHash(Own) + Turn) % Readers.size()];
}

bool read_relay::send(question Question, bool HasStoreFailed, mono_time Now) {
  const auto Reader = readerToAsk(HasStoreFailed, Now);
  if (!Reader)
    return false;
  Question.What.Number = ++LastNumber;
  Question.AskedAt = Now;
  ++Question.Asked;
  const std::string Bytes = encodeQuestion(Question.What);
  Asked[LastNumber] = std::move(Question);
  Peers->sendQuestion(*Reader, Bytes);
  return true;
}

// Failure: one reader announces an order and another one, which is asked for
// it, has not read it yet. Its answer says that there is nothing new.
bool read_relay::asksAnother(question &Question, const relay_answer &Answer,
                             mono_time Now) {
  if (Answer.End >= at(Question.What.Topic).AnnouncedEnd ||
      Question.Asked >= config::RelayReaders)
    return false;
  ++Turn;
  return send(std::move(Question), false, Now);
}

bool read_relay::ask(relayed_topic Topic, std::uint64_t From,
                     bool HasStoreFailed, mono_time Now, handler Handler) {
  return send({{0, Topic, From, false}, {}, std::move(Handler)}, HasStoreFailed,
              Now);
}

bool read_relay::askListing(relayed_topic Topic, std::uint64_t From,
                            mono_time Now, handler Handler) {
  return send({{0, Topic, From, true}, {}, std::move(Handler)}, false, Now);
}

const read_relay::packed &read_relay::pack(relayed_topic Topic,
                                           std::uint64_t From, mono_time Now) {
  const topic &Known = at(Topic);
  packed &Cached = Packed[static_cast<std::size_t>(Topic)];
  const std::uint64_t End =
      Known.Records.empty() ? 0 : Known.Records.rbegin()->first + 1;
  if (!Cached.Bytes.empty() && Cached.From == From && Cached.End == End)
    return Cached;
  std::vector<topic_record> Records;
  std::size_t Bytes = 0;
  for (auto Each = Known.Records.lower_bound(From); Each != Known.Records.end();
       ++Each) {
    const topic_record &Record = Each->second;
    Bytes += sizeOf(Record) + config::RelayRecordBytes;
    if (Bytes > config::MaxRelayAnswerBytes)
      break;
    Records.push_back(Record);
  }
  Cached = {From, End, Records.size(), Now, packRecords(Records, Now)};
  return Cached;
}

// A record that is too large for a datagram would hold a listing up.
bool read_relay::canList(const topic &Known) {
  return Known.IsWhole &&
         std::none_of(Known.Records.begin(), Known.Records.end(),
                      [](const auto &Entry) {
                        return sizeOf(Entry.second) + config::RelayRecordBytes >
                               config::MaxRelayAnswerBytes;
                      });
}

std::string read_relay::answerTo(const relay_question &Question,
                                 mono_time Now) {
  topic &Known = at(Question.Topic);
  if (!Known.ProvenAt || Now - *Known.ProvenAt > config::MaxRelayedAge)
    Known.WantedAt = Now;
  relay_answer Answer;
  Answer.Number = Question.Number;
  Answer.End = Known.End;
  Answer.HasGap =
      !Known.ProvenAt ||
      (Question.IsListing ? !Known.IsWhole : Question.From < Known.First);
  // Rounded up: a proof is never told to be younger than it is.
  if (Known.ProvenAt)
    Answer.Age = std::chrono::ceil<milliseconds>(Now - *Known.ProvenAt);
  if (Answer.HasGap) {
    Answer.CanList = Known.ProvenAt && canList(Known);
    return encodeRelayAnswer(Answer, Now);
  }
  const packed &Records = pack(Question.Topic, Question.From, Now);
  // One that fits into no datagram is read from the store.
  Answer.HasGap = Records.Count == 0 && Records.From < Records.End;
  return encodeRelayAnswer(Answer, Records.Bytes, Records.At, Now);
}

bool read_relay::isWanted(relayed_topic Topic, mono_time Now) const {
  const auto &WantedAt = Topics[static_cast<std::size_t>(Topic)].WantedAt;
  return WantedAt && Now - *WantedAt < config::RelayWantedFor;
}

void read_relay::takeQuestion(const std::string &From, std::string_view Bytes,
                              mono_time Now) {
  const auto Question = decodeQuestion(Bytes);
  if (Question && Peers)
    Peers->sendAnswer(From, answerTo(*Question, Now));
}

// Failure: the reader that is asked lost the store, but not us. Its proof grows
// old, and keys would end here too; so it is of no use.
void read_relay::takeAnswer(std::string_view Bytes, mono_time Now) {
  auto Answer = decodeRelayAnswer(Bytes, Now);
  if (!Answer)
    return;
  const auto Found = Asked.find(Answer->Number);
  if (Found == Asked.end())
    return;
  const mono_time ProvenAt = Found->second.AskedAt - Answer->Age;
  const bool IsOld = Now - ProvenAt > config::MaxRelayedAge;
  // Failure: the store forgets its history. Its readers list it anew, and all
  // the others lack what came before their listing; they take it over.
  if (Answer->HasGap && Answer->CanList && !IsOld) {
    end(Answer->Number, news{{}, Answer->End, ProvenAt, true});
    return;
  }
  if (Answer->HasGap || IsOld) {
    end(Answer->Number, std::nullopt);
    return;
  }
  ServedAt = ProvenAt;
  if (question Question = Found->second; asksAnother(Question, *Answer, Now)) {
    Asked.erase(Answer->Number);
    return;
  }
  end(Answer->Number,
      news{std::move(Answer->Records), Answer->End, ProvenAt, false});
}

void read_relay::end(std::uint64_t Number, std::optional<news> News) {
  const handler Handler = std::move(Asked.extract(Number).mapped().Handler);
  Turn += News ? 0 : 1;
  Handler(std::move(News));
}

void read_relay::expire(mono_time Now) {
  announceAgain(Now);
  std::vector<std::uint64_t> Late;
  for (const auto &[Number, Question] : Asked)
    if (Now - Question.AskedAt >= config::RelayAnswerTime)
      Late.push_back(Number);
  for (const std::uint64_t Number : Late)
    if (Asked.contains(Number))
      end(Number, std::nullopt);
}

} // namespace clementinelane
