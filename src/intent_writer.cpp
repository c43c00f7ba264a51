#include "intent_writer.h"

#include "config.h"

#include <algorithm>

namespace clementinelane {

namespace {

namespace event = writer_event;
namespace action = writer_action;

/// Beyond any record: a read from here returns only the log's offset range.
constexpr std::uint64_t ProbeOffset = std::uint64_t{1} << 53U;
/// Attempts to append one group. The second is made only when the log is known
/// not to hold the first.
constexpr unsigned MaxGroupAppends = 2;
/// Bytes of a record besides its strings.
constexpr std::size_t RecordBytes = 160;

std::size_t sizeOf(const intent_record &Record) {
  return RecordBytes + Record.Customer.size() + Record.Key.size() +
         Record.BodyHash.size() + Record.RequestId.size() +
         Record.Answer.Body.size();
}

} // namespace

std::vector<writer_output> intent_writer::handle(const writer_input &Event,
                                                 mono_time Now) {
  std::visit([&](const auto &Each) { on(Each, Now); }, Event);
  advance(Now);
  if (!Waiting.empty())
    wakeAt(Waiting.front().Since + config::IntentWaitLimit, Now);
  return std::exchange(Actions, {});
}

// Load: a slow or unreachable log. Harm prevented: an unbounded queue, and
// callers that wait until their deadline. An intent refused here was never sent
// to the log. MaxIntentWaitingBytes is four groups, so a full queue is more
// than can be appended within IntentWaitLimit.
void intent_writer::on(const event::submitted &Event, mono_time Now) {
  const std::size_t Bytes = sizeOf(Event.Record);
  // While the log is unreachable, one intent at a time probes it.
  const bool IsDown = DownUntil && (Busy || Now < *DownUntil);
  const bool IsFull =
      WaitingBytes + Bytes > config::MaxIntentWaitingBytes ||
      (!Event.Record.IsOutcome && Phase == phase::Ready && !Table.hasRoom());
  if (IsDown || IsFull)
    return emit(action::decided{Event.Ticket, error_kind::LogUnavailable, {}});
  WaitingBytes += Bytes;
  Waiting.push_back({Event.Ticket, Event.Record, Bytes, Now});
}

void intent_writer::on(const event::tick &, mono_time Now) {
  if (Wake && *Wake <= Now)
    Wake.reset();
  while (!Waiting.empty() &&
         Waiting.front().Since + config::IntentWaitLimit <= Now) {
    WaitingBytes -= Waiting.front().Bytes;
    emit(action::decided{
        Waiting.front().Ticket, error_kind::LogUnavailable, {}});
    Waiting.pop_front();
  }
}

void intent_writer::on(const event::appended &Event, mono_time Now) {
  Busy = false;
  if (!Event.Offset) {
    // The append may have taken effect although its answer was lost. The
    // stream is read to its end, where the group's id shows whether it did;
    // otherwise the group could be decided twice or not at all.
    GroupInDoubt = true;
    return startRead(Next);
  }
  DownUntil.reset();
  GroupInDoubt = false;
  if (Event.Offset.value() == Next) {
    fold({Next, GroupBytes});
    return resolveGroup(Now);
  }
  Target = std::max(Target, Event.Offset.value() + 1);
}

void intent_writer::on(const event::read &Event, mono_time Now) {
  Busy = false;
  if (!Event.Batch) {
    const bool IsExpired =
        kindOf(Event.Batch.error()) == error_kind::LogExpired;
    if (IsExpired) {
      // This VM was disconnected for longer than the log's retention, so its
      // table has gaps. It is rebuilt from the first retained record.
      Table = {};
      Phase = phase::Cold;
    }
    return failAll(Now);
  }
  const log_batch &Batch = Event.Batch.value();
  if (Phase == phase::Cold) {
    Phase = phase::Rebuilding;
    Next = Batch.First;
    Target = Batch.Next;
  } else if (Batch.Records.empty() && Next < Target) {
    // The log reported records that it doesn't return. An immediate retry
    // would load it in an endless loop.
    return failAll(Now);
  }
  DownUntil.reset();
  for (const log_record &Record : Batch.Records)
    fold(Record);
  if (GroupInDoubt)
    Target = std::max(Target, Batch.Next);
  resolveGroup(Now);
}

void intent_writer::fold(const log_record &Record) {
  if (Record.Offset < Next)
    return;
  Next = Record.Offset + 1;
  const auto Decoded = decodeIntents(Record.Bytes);
  // All readers skip an undecodable record, so they stay consistent.
  if (!Decoded)
    return;
  for (const intent_record &Each : Decoded.value().Records)
    Table.apply(Each);
  GroupApplied =
      GroupApplied || (!Group.empty() && Decoded.value().Id == GroupId);
}

/// Decides or retries the group in flight, as the records applied so far allow.
void intent_writer::resolveGroup(mono_time Now) {
  if (Phase == phase::Rebuilding && Next >= Target)
    Phase = phase::Ready;
  if (Group.empty())
    return;
  if (GroupApplied)
    return decideGroup();
  // The stream doesn't hold the group up to its end. If the first append takes
  // effect later, it is harmless: the first decision per request id is final.
  if (GroupInDoubt && Next >= Target)
    retryAppend(Now);
}

void intent_writer::retryAppend(mono_time Now) {
  if (GroupAppends >= MaxGroupAppends)
    return failAll(Now);
  ++GroupAppends;
  ++Appends;
  Busy = true;
  GroupInDoubt = false;
  LastAppend = Now;
  emit(action::append{GroupBytes});
}

void intent_writer::decideGroup() {
  for (const waiting &Item : std::exchange(Group, {})) {
    const intent_record &Record = Item.Record;
    intent_verdict Verdict;
    if (!Record.IsOutcome)
      Verdict = Table.verdictOf(
          {Record.Customer, Record.Key, Record.BodyHash, Record.RequestId},
          Record.At);
    emit(action::decided{Item.Ticket, {}, std::move(Verdict)});
  }
  GroupInDoubt = false;
}

void intent_writer::fail(std::deque<waiting> &Items) {
  for (const waiting &Item : std::exchange(Items, {}))
    emit(action::decided{Item.Ticket, error_kind::LogUnavailable, {}});
}

// Load: every non-idempotent request while the log is unreachable. Harm
// prevented: each of them waiting for its own call to time out. All queued
// records fail at once, and so do new ones until the next attempt.
void intent_writer::failAll(mono_time Now) {
  fail(Group);
  fail(Waiting);
  WaitingBytes = 0;
  GroupInDoubt = false;
  DownUntil = Now + config::ReconnectDelay;
}

void intent_writer::startRead(std::uint64_t From) {
  Busy = true;
  emit(action::read{From});
}

void intent_writer::advance(mono_time Now) {
  if (Busy)
    return;
  if (DownUntil && Now < *DownUntil)
    return;
  if (Waiting.empty() && Group.empty())
    return;
  if (Phase == phase::Cold)
    return startRead(ProbeOffset);
  if (Next < Target || GroupInDoubt)
    return startRead(Next);
  if (Waiting.empty())
    return;
  mono_time At = Waiting.front().Since + config::IntentGroupDelay;
  if (WaitingBytes >= config::MaxIntentGroupBytes)
    At = Now;
  if (LastAppend)
    At = std::max(At, *LastAppend + config::IntentAppendSpacing);
  if (Now < At)
    return wakeAt(At, Now);
  appendGroup(Now);
}

void intent_writer::wakeAt(mono_time At, mono_time Now) {
  if (Wake && Now < *Wake && *Wake <= At)
    return;
  Wake = At;
  emit(action::wake{At});
}

void intent_writer::appendGroup(mono_time Now) {
  intent_group Out;
  std::size_t Bytes = 0;
  while (!Waiting.empty() &&
         Out.Records.size() < config::MaxIntentGroupRecords) {
    waiting &Item = Waiting.front();
    if (!Group.empty() && Bytes + Item.Bytes > config::MaxIntentGroupBytes)
      break;
    Bytes += Item.Bytes;
    WaitingBytes -= Item.Bytes;
    Out.Records.push_back(Item.Record);
    Group.push_back(std::move(Item));
    Waiting.pop_front();
  }
  Out.Id = Name + "/" + std::to_string(++Groups);
  GroupId = Out.Id;
  GroupBytes = encodeIntents(Out);
  GroupApplied = false;
  GroupInDoubt = false;
  GroupAppends = 1;
  ++Appends;
  Busy = true;
  LastAppend = Now;
  emit(action::append{GroupBytes});
}

} // namespace clementinelane
