#include "intent_table.h"

#include "codec.h"
#include "config.h"

#include <algorithm>

namespace clementinelane {

namespace {

/// Memory of one tracked request besides its strings, in bytes.
constexpr std::size_t RequestOverheadBytes = 256;

constexpr std::int64_t millis(std::chrono::milliseconds Duration) {
  return Duration.count();
}

std::size_t sizeOf(std::string_view RequestId, std::string_view Customer,
                   std::string_view Key) {
  return RequestOverheadBytes + 2 * (RequestId.size() + Customer.size()) +
         2 * Key.size();
}

} // namespace

std::string encodeIntents(const intent_group &Group) { return pack(Group); }

result<intent_group> decodeIntents(std::string_view Bytes) {
  return unpack<intent_group>(Bytes, error_kind::RecordCorrupt);
}

std::string encodeIntent(const intent_record &Record) { return pack(Record); }

result<intent_record> decodeIntent(std::string_view Bytes) {
  return unpack<intent_record>(Bytes, error_kind::RecordCorrupt);
}

void stream_clock::observe(std::string_view Vm, std::int64_t At) {
  if (FirstVm.empty() || Vm == FirstVm) {
    FirstVm = Vm;
    FirstAt = std::max(FirstAt, At);
    return;
  }
  if (At > FirstAt) {
    SecondVm = std::exchange(FirstVm, std::string(Vm));
    SecondAt = std::exchange(FirstAt, At);
    return;
  }
  if (SecondVm.empty() || At > SecondAt) {
    SecondVm = Vm;
    SecondAt = At;
  }
}

void intent_table::apply(const intent_record &Record) {
  Clock.observe(Record.Vm, Record.At);
  evictExpired();
  if (Record.IsOutcome)
    return applyOutcome(Record);
  applyIntent(Record);
}

void intent_table::applyIntent(const intent_record &Record) {
  // A record can be duplicated: a writer repeats an append whose answer was
  // lost, and a holder retries at a second writer. Only the first copy counts,
  // or a later one could win a key after its request was told it had lost.
  if (Requests.contains(Record.RequestId))
    return;
  // An append may take effect long after its request was told "not run", when
  // no process is left to log that outcome, and would block the key. Comparing
  // the record's time with the stream's makes all readers discard it.
  if (Record.At + millis(config::IntentMaxAppendDelay) < Clock.now())
    return trackRequest(Record, request_state::Discarded);
  const entry_key Key{Record.Customer, Record.Key};
  const auto [Entry, IsNew] = Entries.try_emplace(Key);
  if (IsNew) {
    Entry->second.BodyHash = Record.BodyHash;
    Entry->second.RequestId = Record.RequestId;
    Entry->second.At = Record.At;
  }
  trackRequest(Record, IsNew ? request_state::Won : request_state::Lost);
}

void intent_table::applyOutcome(const intent_record &Record) {
  const auto End = static_cast<intent_end>(Record.End);
  const auto Found = Requests.find(Record.RequestId);
  if (Found == Requests.end()) {
    // The intent may be appended after its outcome and must not win then.
    if (End == intent_end::NotRun)
      trackRequest(Record, request_state::Discarded);
    return;
  }
  const entry_key Key{Record.Customer, Record.Key};
  entry *Entry = winnerOf(Key, Record.RequestId);
  if (!Entry || Entry->HasOutcome)
    return;
  if (End == intent_end::NotRun) {
    Found->second = request_state::Discarded;
    return eraseEntry(Key, Record.RequestId);
  }
  Entry->HasOutcome = true;
  Entry->End = End;
  Entry->IsKept = Record.IsKept;
  Entry->Answer = Record.Answer;
  keepAnswer(Key, *Entry);
}

void intent_table::trackRequest(const intent_record &Record,
                                request_state State) {
  Requests.emplace(Record.RequestId, State);
  Bytes += sizeOf(Record.RequestId, Record.Customer, Record.Key);
  // Capped at the stream's time: a record from a fast clock would delay the
  // expiry of all entries queued behind it.
  ExpiryQueue.push_back({std::min(Record.At, Clock.now()),
                         Record.RequestId,
                         {Record.Customer, Record.Key}});
}

// Load: many large answers within the retention time. Harm prevented: a writer
// that runs out of memory. The oldest answers are evicted first, as repeats
// come soon or not at all; the fact that the call ran is retained.
void intent_table::keepAnswer(const entry_key &Key, const entry &Entry) {
  AnswerBytes += Entry.Answer.Body.size();
  AnswerOrder.push_back({Key, Entry.RequestId});
  while (AnswerBytes > config::MaxKeptAnswersBytes)
    dropOldestAnswer();
}

void intent_table::dropOldestAnswer() {
  const answer_ref &Oldest = AnswerOrder.front();
  if (entry *Entry = winnerOf(Oldest.Key, Oldest.RequestId)) {
    AnswerBytes -= Entry->Answer.Body.size();
    Entry->Answer = {};
    Entry->IsKept = false;
  }
  AnswerOrder.pop_front();
}

intent_table::entry *intent_table::winnerOf(const entry_key &Key,
                                            std::string_view RequestId) {
  const auto Found = Entries.find(Key);
  if (Found == Entries.end() || Found->second.RequestId != RequestId)
    return nullptr;
  return &Found->second;
}

void intent_table::eraseEntry(const entry_key &Key,
                              std::string_view RequestId) {
  const entry *Entry = winnerOf(Key, RequestId);
  if (!Entry)
    return;
  AnswerBytes -= Entry->Answer.Body.size();
  Entries.erase(Key);
}

void intent_table::evictExpired() {
  while (!ExpiryQueue.empty() &&
         ExpiryQueue.front().At + millis(config::IntentRetention) <
             Clock.now()) {
    const expiry_entry &Oldest = ExpiryQueue.front();
    Requests.erase(Oldest.RequestId);
    eraseEntry(Oldest.Key, Oldest.RequestId);
    Bytes -= sizeOf(Oldest.RequestId, Oldest.Key.first, Oldest.Key.second);
    ExpiryQueue.pop_front();
  }
  while (!AnswerOrder.empty() &&
         !winnerOf(AnswerOrder.front().Key, AnswerOrder.front().RequestId))
    AnswerOrder.pop_front();
}

bool intent_table::hasRoom() const {
  return Bytes < config::MaxIntentTableBytes;
}

intent_verdict intent_table::verdictOf(const intent_key &Key,
                                       std::int64_t At) const {
  const auto Request = Requests.find(Key.RequestId);
  if (Request == Requests.end() || Request->second == request_state::Discarded)
    return {intent_status::Unavailable, {}};
  const auto Found = Entries.find({Key.Customer, Key.Key});
  // The winner was not run and has released the key since.
  if (Found == Entries.end())
    return {intent_status::InProgress, {}};
  const entry &Entry = Found->second;
  if (Request->second == request_state::Won && !Entry.HasOutcome)
    return {intent_status::Won, {}};
  if (Entry.BodyHash != Key.BodyHash)
    return {intent_status::Reused, {}};
  if (!Entry.HasOutcome)
    return {Entry.At + millis(config::IntentRunLimit) < At
                ? intent_status::Unknown
                : intent_status::InProgress,
            {}};
  if (Entry.End != intent_end::Answered)
    return {intent_status::Unknown, {}};
  if (!Entry.IsKept)
    return {intent_status::NotKept, {}};
  return {intent_status::Replay, Entry.Answer};
}

} // namespace clementinelane
