#include "log_intents.h"

#include "codec.h"
#include "config.h"
#include "intent_home.h"
#include "logs.h"

#include <array>
#include <atomic>
#include <boost/asio/post.hpp>
#include <deque>
#include <mutex>

namespace clementinelane {

namespace {

using verdict_reply = std::function<void(result<intent_verdict>)>;

/// Wire format of a verdict.
struct verdict_message {
  std::uint8_t Status = 0;
  kept_answer Answer;
  MSGPACK_DEFINE_MAP(Status, Answer)
};

std::string encodeVerdict(const intent_verdict &Verdict) {
  return pack(verdict_message{static_cast<std::uint8_t>(Verdict.Status),
                              Verdict.Answer});
}

result<intent_verdict> decodeVerdict(std::string_view Bytes) {
  auto Message = unpack<verdict_message>(Bytes, error_kind::PeerIncompatible);
  if (!Message)
    return Message.error();
  if (Message.value().Status >
      static_cast<std::uint8_t>(intent_status::NotKept))
    return error_kind::PeerIncompatible;
  return intent_verdict{static_cast<intent_status>(Message.value().Status),
                        std::move(Message.value().Answer)};
}

std::size_t sizeOf(const intent_record &Record) {
  return sizeof(intent_record) + Record.Key.size() + Record.Answer.Body.size();
}

/// Runs one writer: carries out its actions and keeps the callbacks of pending
/// records.
class writer_host : public std::enable_shared_from_this<writer_host> {
public:
  writer_host(const intent_dependencies &Links, std::string Stream,
              std::string Name)
      : Links(Links), Stream(std::move(Stream)), Writer(std::move(Name)) {}

  void submit(intent_record Record, verdict_reply Done) {
    std::uint64_t Ticket = 0;
    {
      const std::scoped_lock Lock(Mutex);
      Ticket = ++Tickets;
      Waiting.emplace(Ticket, std::move(Done));
    }
    post(writer_event::submitted{Ticket, std::move(Record)});
  }

  void count(intent_counters &Counters) const {
    const std::scoped_lock Lock(Mutex);
    Counters.Appends += Writer.appends();
    Counters.Requests += Writer.table().requests();
    Counters.Bytes += Writer.table().bytes();
  }

private:
  void post(const writer_input &Event) {
    std::vector<writer_output> Out;
    std::vector<std::pair<verdict_reply, writer_action::decided>> Replies;
    {
      const std::scoped_lock Lock(Mutex);
      Out = Writer.handle(Event, Links.Clock.now());
      for (writer_output &Each : Out)
        if (auto *Decided = std::get_if<writer_action::decided>(&Each))
          Replies.emplace_back(
              std::move(Waiting.extract(Decided->Ticket).mapped()),
              std::move(*Decided));
    }
    for (const writer_output &Each : Out)
      std::visit([this](const auto &Action) { perform(Action); }, Each);
    for (auto &[Reply, Decided] : Replies) {
      if (Decided.Error)
        Reply(Decided.Error);
      else
        Reply(std::move(Decided.Verdict));
    }
  }

  void perform(const writer_action::append &Append) {
    boost::asio::post(Links.LogCalls, [Self = shared_from_this(), Append] {
      Self->post(writer_event::appended{
          Self->Links.Log.append(Self->Stream, Append.Bytes)});
    });
  }
  void perform(const writer_action::read &Read) {
    boost::asio::post(Links.LogCalls, [Self = shared_from_this(), Read] {
      Self->post(writer_event::read{Self->Links.Log.read(
          Self->Stream, Read.From, std::chrono::milliseconds(0))});
    });
  }
  void perform(const writer_action::wake &Wake) {
    Links.Timers.after(Wake.At - Links.Clock.now(), [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->post(writer_event::tick{});
    });
  }
  void perform(const writer_action::decided &) {}

  intent_dependencies Links;
  std::string Stream;
  mutable std::mutex Mutex;
  intent_writer Writer;
  std::uint64_t Tickets = 0;
  std::map<std::uint64_t, verdict_reply> Waiting;
};

} // namespace

/// Sends each record to a writer, and retries outcomes that are not yet in the
/// log.
class log_intent_service::impl
    : public std::enable_shared_from_this<log_intent_service::impl> {
public:
  impl(const intent_dependencies &Links, peer_info Self)
      : Links(Links), Self(std::move(Self)) {
    for (std::uint64_t Stream = 0; Stream < config::IntentStreams; ++Stream)
      Hosts[Stream] = std::make_shared<writer_host>(
          Links, intentStreamName(Stream),
          this->Self.Vm + "/" + std::to_string(this->Self.Incarnation) + "/" +
              std::to_string(Stream));
  }

  void place(const intent_key &Key, std::function<void(intent_verdict)> Done) {
    const mono_time Start = Links.Clock.now();
    const std::int64_t WallStart = wallMillis();
    send(recordOf(Key), [Self = shared_from_this(), Key, Start, WallStart,
                         Done =
                             std::move(Done)](result<intent_verdict> Verdict) {
      if (Verdict && Verdict.value().Status != intent_status::Unavailable &&
          !Self->isTooOld(Start, WallStart))
        return Done(std::move(Verdict).value());
      ++Self->Unavailable;
      // The intent may be in the log, or be appended later, although its
      // request is told "not run", and would block the key. A NotRun outcome is
      // therefore retried until it is logged, expires or is dropped.
      Self->queueRetry(Self->recordOf({Key, intent_end::NotRun, {}}));
      Done({intent_status::Unavailable, {}});
    });
  }

  void record(const intent_outcome &Outcome,
              std::function<void(std::error_code)> Done) {
    const intent_record Record = recordOf(Outcome);
    send(Record, [Self = shared_from_this(), Record,
                  Done = std::move(Done)](const result<intent_verdict> &Sent) {
      if (Sent)
        return Done({});
      Self->queueRetry(Record);
      Done(Sent.error());
    });
  }

  void submit(intent_record Record, verdict_reply Done) {
    const auto Stream = intentStreamOf(Record.Customer, Record.Key);
    Hosts[Stream]->submit(std::move(Record), std::move(Done));
  }

  intent_counters counters() const {
    intent_counters Counters;
    for (const auto &Host : Hosts)
      Host->count(Counters);
    Counters.Unavailable = Unavailable;
    const std::scoped_lock Lock(Mutex);
    Counters.PendingOutcomes = PendingOutcomes.size() + RetriesInFlight;
    return Counters;
  }

private:
  /// A record that is being offered to the writers of its stream in turn.
  struct sending {
    intent_record Record;
    std::string Bytes;
    std::vector<peer_info> Writers;
    std::size_t Next = 0;
    verdict_reply Done;
  };

  std::int64_t wallMillis() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               Links.Clock.wallNow().time_since_epoch())
        .count();
  }

  // While a process is paused between its intent and its dispatch, the key may
  // be given to another request, and the call would run twice. Both clocks are
  // checked, since a paused VM's monotonic clock may not advance.
  bool isTooOld(mono_time Start, std::int64_t WallStart) const {
    const std::chrono::milliseconds Limit = config::IntentDispatchLimit;
    return Links.Clock.now() - Start > Limit ||
           wallMillis() - WallStart > Limit.count();
  }

  intent_record recordOf(const intent_key &Key) const {
    intent_record Record;
    Record.Customer = Key.Customer;
    Record.Key = Key.Key;
    Record.BodyHash = Key.BodyHash;
    Record.RequestId = Key.RequestId;
    Record.Vm = Self.Vm;
    Record.Incarnation = Self.Incarnation;
    Record.At = wallMillis();
    return Record;
  }

  intent_record recordOf(const intent_outcome &Outcome) const {
    intent_record Record = recordOf(Outcome.Key);
    Record.IsOutcome = true;
    Record.End = static_cast<std::uint8_t>(Outcome.End);
    Record.IsKept = Outcome.Answer.Body.size() <= config::MaxKeptAnswerBytes;
    if (Record.IsKept)
      Record.Answer = Outcome.Answer;
    return Record;
  }

  void send(intent_record Record, verdict_reply Done) {
    auto Sending = std::make_shared<sending>();
    Sending->Bytes = encodeIntent(Record);
    std::vector<peer_info> Vms = Links.Peers.peers();
    Vms.push_back(Self);
    Sending->Writers =
        writersOf(intentStreamOf(Record.Customer, Record.Key), Vms);
    Sending->Record = std::move(Record);
    Sending->Done = std::move(Done);
    sendNext(Sending);
  }

  // A writer may die between its append and its reply, or be unreachable. The
  // next writer, and finally this VM, appends the same record again; readers
  // use the first copy.
  void sendNext(const std::shared_ptr<sending> &Sending) {
    const bool IsLast = Sending->Next == Sending->Writers.size();
    if (IsLast || Sending->Writers[Sending->Next].Vm == Self.Vm)
      return submit(Sending->Record, Sending->Done);
    const peer_info &Writer = Sending->Writers[Sending->Next++];
    Links.Link.call(
        Writer.EntryLink, IntentPath, Sending->Bytes, config::IntentCallTimeout,
        [Weak = weak_from_this(), Sending](const result<std::string> &Reply) {
          const auto Impl = Weak.lock();
          auto Verdict = Reply ? decodeVerdict(Reply.value())
                               : result<intent_verdict>(Reply.error());
          if (Verdict || !Impl)
            return Sending->Done(std::move(Verdict));
          Impl->sendNext(Sending);
        });
  }

  // Load: an outage of the log under steady non-idempotent work. Harm
  // prevented: memory that grows with the outage. The oldest outcomes are
  // dropped first; their keys stay blocked for IntentRetention at most.
  void queueRetry(intent_record Record) {
    const std::scoped_lock Lock(Mutex);
    PendingBytes += sizeOf(Record);
    PendingOutcomes.push_back(std::move(Record));
    while (PendingBytes > config::MaxPendingOutcomeBytes) {
      logs::warning("outcome_dropped",
                    {{"request", PendingOutcomes.front().RequestId}});
      PendingBytes -= sizeOf(PendingOutcomes.front());
      PendingOutcomes.pop_front();
    }
    if (!std::exchange(RetryScheduled, true))
      Links.Timers.after(config::OutcomeRetryInterval,
                         [Weak = weak_from_this()] {
                           if (const auto Impl = Weak.lock())
                             Impl->retryPending();
                         });
  }

  void retryPending() {
    std::vector<intent_record> Batch;
    {
      const std::scoped_lock Lock(Mutex);
      RetryScheduled = false;
      while (!PendingOutcomes.empty() &&
             Batch.size() < config::OutcomeRetryBatch) {
        PendingBytes -= sizeOf(PendingOutcomes.front());
        Batch.push_back(std::move(PendingOutcomes.front()));
        PendingOutcomes.pop_front();
      }
      RetriesInFlight += Batch.size();
    }
    for (const intent_record &Record : Batch)
      send(Record, [Self = shared_from_this(),
                    Record](const result<intent_verdict> &Sent) {
        Self->finishRetry(Record, static_cast<bool>(Sent));
      });
  }

  void finishRetry(const intent_record &Record, bool IsDone) {
    {
      const std::scoped_lock Lock(Mutex);
      --RetriesInFlight;
    }
    const std::chrono::milliseconds Window = config::IntentRetention;
    if (!IsDone && wallMillis() - Record.At < Window.count())
      queueRetry(Record);
  }

  intent_dependencies Links;
  peer_info Self;
  std::array<std::shared_ptr<writer_host>, config::IntentStreams> Hosts;
  std::atomic<std::uint64_t> Unavailable{0};
  mutable std::mutex Mutex;
  std::deque<intent_record> PendingOutcomes;
  std::size_t PendingBytes = 0;
  std::size_t RetriesInFlight = 0;
  bool RetryScheduled = false;
};

log_intent_service::log_intent_service(const intent_dependencies &Links,
                                       peer_info Self)
    : Impl(std::make_shared<impl>(Links, std::move(Self))) {}

log_intent_service::~log_intent_service() = default;

void log_intent_service::place(const intent_key &Key,
                               std::function<void(intent_verdict)> Done) {
  Impl->place(Key, std::move(Done));
}

void log_intent_service::record(const intent_outcome &Outcome,
                                std::function<void(std::error_code)> Done) {
  Impl->record(Outcome, std::move(Done));
}

void log_intent_service::serve(std::string_view Body, link_reply Reply) {
  auto Record = decodeIntent(Body);
  if (!Record)
    return Reply(error_kind::PeerIncompatible);
  Impl->submit(
      std::move(Record).value(),
      [Reply = std::move(Reply)](const result<intent_verdict> &Verdict) {
        if (!Verdict)
          return Reply(Verdict.error());
        Reply(encodeVerdict(Verdict.value()));
      });
}

intent_counters log_intent_service::counters() const {
  return Impl->counters();
}

} // namespace clementinelane
