#include "lease.h"

#include "codec.h"
#include "config.h"

namespace clementinelane {

std::string encodeLease(const lease_record &Record) { return pack(Record); }

result<lease_record> decodeLease(std::string_view Bytes) {
  return unpack<lease_record>(Bytes, error_kind::RecordCorrupt);
}

void lease::recordRead(std::uint64_t Offset, const lease_record &Record,
                       mono_time Now) {
  const bool IsValid = Record.Previous == Last && Offset >= Last;
  const auto Own = Sent.extract(Record.Id);
  // The holder of an invalid record may still have acted on it.
  OtherHolderSeen = OtherHolderSeen || Record.Holder != Holder;
  Last = Offset + 1;
  FreeSince.reset();
  // An invalid record delays claims too: a reader that has read less of the log
  // may take it for valid.
  LastReadAt = Now;
  Released = IsValid && Record.IsRelease;
  if (!IsValid)
    return;
  if (Own.empty() || Record.IsRelease) {
    ValidUntil = mono_time{};
    return;
  }
  TookOver = OtherHolderSeen;
  OtherHolderSeen = false;
  Term = Last;
  ValidUntil = Own.mapped() + config::LeaseDuration;
}

lease_record lease::makeRecord(mono_time Now, bool IsRelease) {
  lease_record Record{Holder + "#" + std::to_string(++Counter), Name, Holder,
                      Last, IsRelease};
  // Set before the append is sent, so that its latency shortens the lease on
  // the holder's side.
  SentAt = Now;
  Sent[Record.Id] = Now;
  if (Sent.size() > config::MaxPendingLeaseRecords)
    Sent.erase(Sent.begin());
  return Record;
}

std::optional<lease_record> lease::tick(mono_time Now, bool MayClaim,
                                        std::size_t Rank) {
  const bool Held = Now < ValidUntil;
  if (Held) {
    if (SentAt && Now - *SentAt < config::LeaseRenewInterval)
      return std::nullopt;
    return makeRecord(Now, false);
  }
  const bool Waited =
      !LastReadAt || Released ||
      Now - *LastReadAt >= config::LeaseDuration + config::ClockDrift;
  if (!MayClaim || !Waited) {
    FreeSince.reset();
    return std::nullopt;
  }
  if (!FreeSince)
    FreeSince = Now;
  if (Now - *FreeSince < config::LeaseRankDelay * Rank)
    return std::nullopt;
  if (SentAt && Now - *SentAt < config::LeaseRenewInterval)
    return std::nullopt;
  return makeRecord(Now, false);
}

std::optional<lease_record> lease::release(mono_time Now) {
  if (Now >= ValidUntil)
    return std::nullopt;
  ValidUntil = mono_time{};
  return makeRecord(Now, true);
}

std::optional<std::uint64_t> lease::fencingNumber(mono_time Now,
                                                  duration MinRemaining) const {
  // Guard: a holder that was suspended, or whose append was slow, could act
  // after another has taken the lease, and an engine would get two orders. So
  // the remaining time is computed at each call, from a clock that continues
  // while the process is suspended.
  if (Now + MinRemaining + config::ClockDrift > ValidUntil)
    return std::nullopt;
  return Term;
}

} // namespace clementinelane
