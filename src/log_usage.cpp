#include "log_usage.h"

#include "codec.h"
#include "config.h"
#include "logs.h"
#include "usage_store.h"

#include <boost/asio/post.hpp>
#include <mutex>

namespace clementinelane {

/// Performs the store's actions and feeds their results back as events.
class log_usage_service::host
    : public std::enable_shared_from_this<log_usage_service::host> {
public:
  host(const usage_links &Links, peer_info Self)
      : Links(Links), Store(std::move(Self)) {}

  /// Passes the current peers and a tick to the store, now and every UsageTick.
  void tick() {
    post(usage_event::peers_updated{Links.Peers.peers()});
    post(usage_event::tick{});
    Links.Timers.after(config::UsageTick, [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->tick();
    });
  }

  bool hasRoom() const {
    const std::scoped_lock Lock(Mutex);
    return Store.hasRoom(Links.Clock.now());
  }

  bool isDrained() const {
    const std::scoped_lock Lock(Mutex);
    return Store.isDrained();
  }

  usage_counters counters() const {
    const std::scoped_lock Lock(Mutex);
    return {Store.appends(), Store.ownBytes(), Store.heldBytes()};
  }

  void keep(const usage_record &Record,
            std::function<void(std::error_code)> Done) {
    post(
        usage_event::keep{addCallback(KeepCallbacks, std::move(Done)), Record});
  }

  void hold(usage_hold Hold, link_reply Reply) {
    post(usage_event::hold_requested{
        addCallback(HoldCallbacks,
                    [Reply = std::move(Reply)](std::error_code Error) {
                      Reply(Error ? result<std::string>(Error) : std::string());
                    }),
        std::move(Hold)});
  }

  void post(const usage_input &Event) {
    std::vector<usage_output> Out;
    {
      const std::scoped_lock Lock(Mutex);
      Out = Store.handle(Event, Links.Clock.now());
    }
    for (const usage_output &Each : Out)
      std::visit([this](const auto &Action) { perform(Action); }, Each);
  }

private:
  using callback = std::function<void(std::error_code)>;
  using callbacks = std::map<std::uint64_t, callback>;

  std::uint64_t addCallback(callbacks &To, callback Done) {
    const std::scoped_lock Lock(Mutex);
    To.emplace(++Tickets, std::move(Done));
    return Tickets;
  }

  callback takeCallback(callbacks &From, std::uint64_t Ticket) {
    const std::scoped_lock Lock(Mutex);
    return std::move(From.extract(Ticket).mapped());
  }

  void perform(const usage_action::append &Append) {
    boost::asio::post(Links.LogCalls, [Self = shared_from_this(), Append] {
      const auto Offset = Self->Links.Log.append(UsageStream, Append.Bytes);
      Self->post(
          usage_event::appended{Offset ? std::error_code() : Offset.error()});
    });
  }

  void perform(const usage_action::send_hold &Send) {
    Links.Link.call(
        Send.To.EntryLink, UsageHoldPath, pack(Send.Hold),
        config::UsageHoldTimeout,
        [Weak = weak_from_this(), Batch = Send.Batch,
         Vm = Send.To.Vm](const result<std::string> &Reply) {
          if (const auto Self = Weak.lock())
            Self->post(usage_event::hold_replied{
                Batch, Vm, Reply ? std::error_code() : Reply.error()});
        });
  }

  void perform(const usage_action::send_release &Send) {
    // If a release is lost, the holder appends the records after
    // MaxUsageHoldTime.
    Links.Link.call(Send.To.EntryLink, UsageReleasePath, pack(Send.Release),
                    config::UsageHoldTimeout, [](const auto &) {});
  }

  void perform(const usage_action::kept &Kept) {
    if (Kept.Error)
      logs::warning("usage_not_kept", {{"error", Kept.Error.message()}});
    takeCallback(KeepCallbacks, Kept.Ticket)(Kept.Error);
  }

  void perform(const usage_action::answer_hold &Answer) {
    takeCallback(HoldCallbacks, Answer.Call)(Answer.Error);
  }

  void perform(const usage_action::wake &Wake) {
    Links.Timers.after(Wake.At - Links.Clock.now(), [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->post(usage_event::tick{});
    });
  }

  usage_links Links;
  mutable std::mutex Mutex;
  usage_store Store;
  std::uint64_t Tickets = 0;
  callbacks KeepCallbacks;
  callbacks HoldCallbacks;
};

log_usage_service::log_usage_service(const usage_links &Links, peer_info Self)
    : Host(std::make_shared<host>(Links, std::move(Self))) {
  Host->tick();
}

log_usage_service::~log_usage_service() = default;

bool log_usage_service::hasRoom() const { return Host->hasRoom(); }

void log_usage_service::keep(const usage_record &Record,
                             std::function<void(std::error_code)> Done) {
  Host->keep(Record, std::move(Done));
}

void log_usage_service::serve(std::string_view Path, std::string_view Body,
                              link_reply Reply) {
  if (Path == UsageHoldPath) {
    auto Hold = unpack<usage_hold>(Body, error_kind::PeerIncompatible);
    if (!Hold)
      return Reply(Hold.error());
    return Host->hold(std::move(Hold).value(), std::move(Reply));
  }
  auto Release = unpack<usage_release>(Body, error_kind::PeerIncompatible);
  if (!Release)
    return Reply(Release.error());
  Host->post(usage_event::released{std::move(Release).value()});
  Reply(std::string());
}

void log_usage_service::drain() { Host->post(usage_event::drain{}); }

bool log_usage_service::isDrained() const { return Host->isDrained(); }

usage_counters log_usage_service::counters() const { return Host->counters(); }

} // namespace clementinelane
