#include "log_intents.h"

#include <pplx/pplxtasks.h>

namespace clementinelane {

std::string encodeIntent(const intent_record &Record) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Record);
  return {Buffer.data(), Buffer.size()};
}

result<intent_record> decodeIntent(std::string_view Bytes) {
  try {
    return msgpack::unpack(Bytes.data(), Bytes.size())
        .get()
        .as<intent_record>();
  } catch (const std::exception &) {
    return error_kind::RecordCorrupt;
  }
}

void intent_table::apply(const intent_record &Record) {
  entry &Entry = Entries[{Record.Customer, Record.Key}];
  if (!Record.IsOutcome) {
    if (Entry.RequestId.empty())
      Entry = {Record.BodyHash, Record.RequestId, false, {}, {}};
    return;
  }
  // Only the winner's outcome counts, and only its first.
  if (Entry.RequestId != Record.RequestId || Entry.HasOutcome)
    return;
  Entry.HasOutcome = true;
  Entry.End = static_cast<intent_end>(Record.End);
  Entry.Answer = Record.Answer;
  if (Entry.End == intent_end::NotRun)
    Entry = {};
}

intent_verdict intent_table::verdictOf(const intent_key &Key) const {
  const auto Found = Entries.find({Key.Customer, Key.Key});
  if (Found == Entries.end() || Found->second.RequestId.empty())
    return {intent_status::Unavailable, {}};
  const entry &Entry = Found->second;
  if (Entry.BodyHash != Key.BodyHash)
    return {intent_status::Reused, {}};
  if (Entry.RequestId == Key.RequestId)
    return {intent_status::Won, {}};
  if (!Entry.HasOutcome)
    return {intent_status::InProgress, {}};
  if (Entry.End == intent_end::Answered)
    return {intent_status::Replay, Entry.Answer};
  return {intent_status::Unknown, {}};
}

std::error_code log_intent_service::readUpTo(std::uint64_t Offset) {
  while (Next <= Offset) {
    auto Batch = Log.read(IntentStream, Next, std::chrono::milliseconds(0));
    if (!Batch)
      return Batch.error();
    if (Batch.value().Records.empty())
      return error_kind::LogUnavailable;
    for (const log_record &Record : Batch.value().Records) {
      if (const auto Decoded = decodeIntent(Record.Bytes))
        Table.apply(Decoded.value());
      Next = Record.Offset + 1;
    }
  }
  return {};
}

void log_intent_service::place(const intent_key &Key,
                               std::function<void(intent_verdict)> Done) {
  pplx::create_task([this, Key, Done = std::move(Done)] {
    const std::scoped_lock Lock(Mutex);
    const auto Offset = Log.append(IntentStream, encodeIntent({false,
                                                               Key.Customer,
                                                               Key.Key,
                                                               Key.BodyHash,
                                                               Key.RequestId,
                                                               0,
                                                               {}}));
    // A lost answer leaves an intent in the log whose request is told "not
    // run" and is never dispatched; whoever asks again is told to wait.
    if (!Offset || readUpTo(Offset.value()))
      return Done({intent_status::Unavailable, {}});
    Done(Table.verdictOf(Key));
  });
}

void log_intent_service::record(const intent_outcome &Outcome,
                                std::function<void(std::error_code)> Done) {
  pplx::create_task([this, Outcome, Done = std::move(Done)] {
    const auto Offset = Log.append(
        IntentStream,
        encodeIntent({true, Outcome.Key.Customer, Outcome.Key.Key,
                      Outcome.Key.BodyHash, Outcome.Key.RequestId,
                      static_cast<std::uint8_t>(Outcome.End), Outcome.Answer}));
    Done(Offset ? std::error_code() : Offset.error());
  });
}

} // namespace clementinelane
