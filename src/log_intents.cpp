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

/// A verdict between two processes.
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

/// Runs one scribe: carries out its actions and keeps who waits for what.
class scribe_host : public std::enable_shared_from_this<scribe_host> {
public:
  scribe_host(const intent_links &Links, std::string Stream, std::string Name)
      : Links(Links), Stream(std::move(Stream)), Scribe(std::move(Name)) {}

  void submit(intent_record Record, verdict_reply Done) {
    std::uint64_t Ticket = 0;
    {
      const std::scoped_lock Lock(Mutex);
      Ticket = ++Tickets;
      Waiting.emplace(Ticket, std::move(Done));
    }
    post(scribe_event::submitted{Ticket, std::move(Record)});
  }

  void count(intent_counters &Counters) const {
    const std::scoped_lock Lock(Mutex);
    Counters.Appends += Scribe.appends();
    Counters.Requests += Scribe.table().requests();
    Counters.Bytes += Scribe.table().bytes();
  }

private:
  void post(const scribe_input &Event) {
    std::vector<scribe_output> Out;
    std::vector<std::pair<verdict_reply, scribe_action::decided>> Replies;
    {
      const std::scoped_lock Lock(Mutex);
      Out = Scribe.handle(Event, Links.Clock.now());
      for (scribe_output &Each : Out)
        if (auto *Decided = std::get_if<scribe_action::decided>(&Each))
          Replies.emplace_back(
              std::move(Waiting.extract(Decided->Ticket).mapped()),
              std::move(*Decided));
    }
    for (const scribe_output &Each : Out)
      std::visit([this](const auto &Action) { perform(Action); }, Each);
    for (auto &[Reply, Decided] : Replies) {
      if (Decided.Error)
        Reply(Decided.Error);
      else
        Reply(std::move(Decided.Verdict));
    }
  }

  void perform(const scribe_action::append &Append) {
    boost::asio::post(Links.LogCalls, [Self = shared_from_this(), Append] {
      Self->post(scribe_event::appended{
          Self->Links.Log.append(Self->Stream, Append.Bytes)});
    });
  }
  void perform(const scribe_action::read &Read) {
    boost::asio::post(Links.LogCalls, [Self = shared_from_this(), Read] {
      Self->post(scribe_event::read{Self->Links.Log.read(
          Self->Stream, Read.From, std::chrono::milliseconds(0))});
    });
  }
  void perform(const scribe_action::wake &Wake) {
    Links.Timers.after(Wake.At - Links.Clock.now(), [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->post(scribe_event::tick{});
    });
  }
  void perform(const scribe_action::decided &) {}

  intent_links Links;
  std::string Stream;
  mutable std::mutex Mutex;
  intent_scribe Scribe;
  std::uint64_t Tickets = 0;
  std::map<std::uint64_t, verdict_reply> Waiting;
};

} // namespace

/// Finds a scribe for each record, and keeps what this VM owes the log.
class log_intent_service::router
    : public std::enable_shared_from_this<log_intent_service::router> {
public:
  router(const intent_links &Links, peer_info Self)
      : Links(Links), Self(std::move(Self)) {
    for (std::uint64_t Stream = 0; Stream < config::IntentStreams; ++Stream)
      Hosts[Stream] = std::make_shared<scribe_host>(
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
      // Guard: the intent may be in the log, or land later, while its request
      // is told "not run". It would show as a key that nobody can use again;
      // the log is told that it was not run, for as long as it takes.
      Self->owe(Self->recordOf({Key, intent_end::NotRun, {}}));
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
      Self->owe(Record);
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
    Counters.Owed = Owed.size() + OwedUnderWay;
    return Counters;
  }

private:
  /// A record on its way through the scribes of its stream.
  struct sending {
    intent_record Record;
    std::string Bytes;
    std::vector<peer_info> Scribes;
    std::size_t Next = 0;
    verdict_reply Done;
  };

  std::int64_t wallMillis() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               Links.Clock.wallNow().time_since_epoch())
        .count();
  }

  // Guard: a process that was paused between its intent and its dispatch may
  // find the key judged again meanwhile. It would show as a second run hours
  // later; both clocks are asked, since a paused VM's monotonic one may stand.
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
    Sending->Scribes =
        scribesOf(intentStreamOf(Record.Customer, Record.Key), Vms);
    Sending->Record = std::move(Record);
    Sending->Done = std::move(Done);
    sendNext(Sending);
  }

  // Guard: a scribe dies between its append and its answer, or is cut off. It
  // shows as a call without a reply. The next one, and at last this VM itself,
  // appends the same record again; readers take the first of the copies.
  void sendNext(const std::shared_ptr<sending> &Sending) {
    const bool IsLast = Sending->Next == Sending->Scribes.size();
    if (IsLast || Sending->Scribes[Sending->Next].Vm == Self.Vm)
      return submit(Sending->Record, Sending->Done);
    const peer_info &Scribe = Sending->Scribes[Sending->Next++];
    Links.Link.call(
        Scribe.EntryLink, IntentPath, Sending->Bytes, config::IntentCallTimeout,
        [Weak = weak_from_this(), Sending](const result<std::string> &Reply) {
          const auto Router = Weak.lock();
          auto Verdict = Reply ? decodeVerdict(Reply.value())
                               : result<intent_verdict>(Reply.error());
          if (Verdict || !Router)
            return Sending->Done(std::move(Verdict));
          Router->sendNext(Sending);
        });
  }

  // Load: an outage of the log under steady non-idempotent work. Harm
  // prevented: memory that grows with the outage. The oldest go first: a key
  // then stays blocked for IntentWindow at most.
  void owe(intent_record Record) {
    const std::scoped_lock Lock(Mutex);
    OwedBytes += sizeOf(Record);
    Owed.push_back(std::move(Record));
    while (OwedBytes > config::MaxOwedOutcomeBytes) {
      logs::warning("outcome_dropped", {{"request", Owed.front().RequestId}});
      OwedBytes -= sizeOf(Owed.front());
      Owed.pop_front();
    }
    if (!std::exchange(RetryWaits, true))
      Links.Timers.after(config::OwedOutcomeRetry, [Weak = weak_from_this()] {
        if (const auto Router = Weak.lock())
          Router->payOwed();
      });
  }

  void payOwed() {
    std::vector<intent_record> Batch;
    {
      const std::scoped_lock Lock(Mutex);
      RetryWaits = false;
      while (!Owed.empty() && Batch.size() < config::OwedOutcomeBatch) {
        OwedBytes -= sizeOf(Owed.front());
        Batch.push_back(std::move(Owed.front()));
        Owed.pop_front();
      }
      OwedUnderWay += Batch.size();
    }
    for (const intent_record &Record : Batch)
      send(Record, [Self = shared_from_this(),
                    Record](const result<intent_verdict> &Sent) {
        Self->paid(Record, static_cast<bool>(Sent));
      });
  }

  void paid(const intent_record &Record, bool IsDone) {
    {
      const std::scoped_lock Lock(Mutex);
      --OwedUnderWay;
    }
    const std::chrono::milliseconds Window = config::IntentWindow;
    if (!IsDone && wallMillis() - Record.At < Window.count())
      owe(Record);
  }

  intent_links Links;
  peer_info Self;
  std::array<std::shared_ptr<scribe_host>, config::IntentStreams> Hosts;
  std::atomic<std::uint64_t> Unavailable{0};
  mutable std::mutex Mutex;
  std::deque<intent_record> Owed;
  std::size_t OwedBytes = 0;
  std::size_t OwedUnderWay = 0;
  bool RetryWaits = false;
};

log_intent_service::log_intent_service(const intent_links &Links,
                                       peer_info Self)
    : Router(std::make_shared<router>(Links, std::move(Self))) {}

log_intent_service::~log_intent_service() = default;

void log_intent_service::place(const intent_key &Key,
                               std::function<void(intent_verdict)> Done) {
  Router->place(Key, std::move(Done));
}

void log_intent_service::record(const intent_outcome &Outcome,
                                std::function<void(std::error_code)> Done) {
  Router->record(Outcome, std::move(Done));
}

void log_intent_service::serve(std::string_view Body, link_reply Reply) {
  auto Record = decodeIntent(Body);
  if (!Record)
    return Reply(error_kind::PeerIncompatible);
  Router->submit(
      std::move(Record).value(),
      [Reply = std::move(Reply)](const result<intent_verdict> &Verdict) {
        if (!Verdict)
          return Reply(Verdict.error());
        Reply(encodeVerdict(Verdict.value()));
      });
}

intent_counters log_intent_service::counters() const {
  return Router->counters();
}

} // namespace clementinelane
