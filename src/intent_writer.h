#pragma once

#include "clock.h"
#include "intent_table.h"
#include "log_client.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace clementinelane {

/// Input events of a writer.
namespace writer_event {
/// An intent or an outcome to append. Exactly one `decided` with the same
/// ticket answers it.
struct submitted {
  std::uint64_t Ticket;
  intent_record Record;
};
struct appended {
  result<std::uint64_t> Offset;
};
struct read {
  result<log_batch> Batch;
};
struct tick {};
} // namespace writer_event

using writer_input =
    std::variant<writer_event::submitted, writer_event::appended,
                 writer_event::read, writer_event::tick>;

/// Actions that the caller of `handle` carries out. At most one append or read
/// is in flight at a time.
namespace writer_action {
struct append {
  std::string Bytes;
};
struct read {
  std::uint64_t From;
};
/// With `Error`, the record may or may not reach the log, and its request was
/// not told that it won.
struct decided {
  std::uint64_t Ticket;
  std::error_code Error;
  intent_verdict Verdict; ///< set for intents only
};
/// Requests a `tick` at this time.
struct wake {
  mono_time At;
};
} // namespace writer_action

using writer_output = std::variant<writer_action::append, writer_action::read,
                                   writer_action::decided, writer_action::wake>;

/// State machine, without I/O, that appends the records of one stream in groups
/// and applies the stream to a table. Several writers may serve one stream at
/// once, since the log order decides.
///
/// Load: hundreds of bookings a second against a log that takes a few hundred
/// appends. Harm prevented: a log too busy for configuration. One append is in
/// flight at a time, with a minimum spacing, so the append rate grows with the
/// number of streams and not with the number of requests.
class intent_writer {
public:
  /// `Name` is unique to this process and stream, and prefixes each group's id.
  explicit intent_writer(std::string Name) : Name(std::move(Name)) {}

  std::vector<writer_output> handle(const writer_input &Event, mono_time Now);

  std::uint64_t appends() const { return Appends; }
  const intent_table &table() const { return Table; }

private:
  enum class phase : std::uint8_t { Cold, Rebuilding, Ready };
  struct waiting {
    std::uint64_t Ticket;
    intent_record Record;
    std::size_t Bytes;
    mono_time Since;
  };

  void on(const writer_event::submitted &Event, mono_time Now);
  void on(const writer_event::appended &Event, mono_time Now);
  void on(const writer_event::read &Event, mono_time Now);
  void on(const writer_event::tick &Event, mono_time Now);

  void advance(mono_time Now);
  void appendGroup(mono_time Now);
  void retryAppend(mono_time Now);
  void fold(const log_record &Record);
  void resolveGroup(mono_time Now);
  void decideGroup();
  void failAll(mono_time Now);
  void fail(std::deque<waiting> &Items);
  void startRead(std::uint64_t From);
  void wakeAt(mono_time At, mono_time Now);
  template <typename T> void emit(T Action) {
    Actions.emplace_back(std::in_place_type<T>, std::move(Action));
  }

  std::string Name;
  intent_table Table;
  std::vector<writer_output> Actions;
  phase Phase = phase::Cold;
  std::uint64_t Next = 0;   ///< offset of the next record to apply
  std::uint64_t Target = 0; ///< apply records below this offset before deciding
  std::deque<waiting> Waiting;
  std::size_t WaitingBytes = 0;
  std::deque<waiting> Group; ///< appended, not yet decided
  std::string GroupId;
  std::string GroupBytes;
  bool GroupApplied = false; ///< its records have been applied
  bool GroupInDoubt = false; ///< the append's answer was lost
  unsigned GroupAppends = 0;
  bool Busy = false; ///< a call to the log is in flight
  std::uint64_t Groups = 0;
  std::uint64_t Appends = 0;
  std::optional<mono_time> LastAppend;
  std::optional<mono_time> DownUntil;
  std::optional<mono_time> Wake;
};

} // namespace clementinelane
