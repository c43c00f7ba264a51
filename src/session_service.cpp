#include "session_service.h"

#include "codec.h"
#include "config.h"
#include "logs.h"

#include <mutex>

namespace clementinelane {

/// Performs the actions of the directory.
class session_service::impl
    : public std::enable_shared_from_this<session_service::impl> {
public:
  impl(const session_links &Links, peer_info Self)
      : Links(Links), Directory(std::move(Self)) {}

  void start() {
    {
      const std::scoped_lock Lock(Mutex);
      if (std::exchange(IsStarted, true))
        return;
    }
    tick();
  }

  void tick() {
    post(session_event::peers_changed{Links.Peers.peers()});
    Links.Timers.after(config::SessionTick, [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->tick();
    });
  }

  void bind(session_claim Claim, bind_callback Done) {
    std::uint64_t BindId = 0;
    {
      const std::scoped_lock Lock(Mutex);
      BindId = ++LastId;
      PendingBinds.emplace(BindId, std::move(Done));
    }
    post(session_event::bind_requested{BindId, std::move(Claim)});
  }

  void serve(session_message Message, link_reply Reply) {
    std::uint64_t CallId = 0;
    {
      const std::scoped_lock Lock(Mutex);
      CallId = ++LastId;
      PendingCalls.emplace(CallId, std::move(Reply));
    }
    post(session_event::message_received{CallId, std::move(Message)});
  }

  std::size_t size() const {
    const std::scoped_lock Lock(Mutex);
    return Directory.size();
  }

private:
  void post(const session_input &Event) {
    std::vector<session_output> Out;
    {
      const std::scoped_lock Lock(Mutex);
      Out = Directory.handle(Event, Links.Clock.now());
    }
    for (const session_output &Each : Out)
      std::visit([this](const auto &Action) { perform(Action); }, Each);
  }

  template <typename T>
  T takeCallback(std::map<std::uint64_t, T> &From, std::uint64_t Id) {
    const std::scoped_lock Lock(Mutex);
    return std::move(From.extract(Id).mapped());
  }

  void perform(const session_action::send &Send) {
    Links.Link.call(
        Send.To.EntryLink, SessionPath, pack(Send.Message),
        config::SessionCallTimeout,
        [Weak = weak_from_this(), RoundId = Send.RoundId,
         Vm = Send.To.Vm](const result<std::string> &Reply) {
          const auto Self = Weak.lock();
          if (!Self || RoundId == 0)
            return;
          Self->post(session_event::reply_received{
              RoundId, Vm,
              Reply ? unpack<std::vector<session_claim>>(
                          Reply.value(), error_kind::PeerIncompatible)
                    : result<std::vector<session_claim>>(Reply.error())});
        });
  }

  void perform(const session_action::reply &Action) {
    const link_reply Reply = takeCallback(PendingCalls, Action.CallId);
    if (!Action.Claims)
      return Reply(Action.Claims.error());
    Reply(pack(Action.Claims.value()));
  }

  void perform(const session_action::complete_bind &Action) {
    const bind_callback Done = takeCallback(PendingBinds, Action.BindId);
    if (Action.Error)
      return Done(Action.Error);
    Done(Action.Binding);
  }

  session_links Links;
  mutable std::mutex Mutex;
  session_directory Directory;
  bool IsStarted = false;
  std::uint64_t LastId = 0;
  std::map<std::uint64_t, bind_callback> PendingBinds;
  std::map<std::uint64_t, link_reply> PendingCalls;
};

session_service::session_service(const session_links &Links, peer_info Self)
    : Impl(std::make_shared<impl>(Links, std::move(Self))) {}

session_service::~session_service() = default;

void session_service::start() { Impl->start(); }

void session_service::bind(session_claim Claim, bind_callback Done) {
  Impl->bind(std::move(Claim), std::move(Done));
}

void session_service::serve(std::string_view Body, link_reply Reply) {
  auto Message = unpack<session_message>(Body, error_kind::PeerIncompatible);
  if (!Message)
    return Reply(Message.error());
  Impl->serve(std::move(Message).value(), std::move(Reply));
}

std::size_t session_service::size() const { return Impl->size(); }

} // namespace clementinelane
