#include "session_service.h"

#include "codec.h"
#include "config.h"
#include "logs.h"

#include <mutex>

namespace clementinelane {

/// Carries out what the directory says.
class session_service::host
    : public std::enable_shared_from_this<session_service::host> {
public:
  host(const session_links &Links, peer_info Self)
      : Links(Links), Directory(std::move(Self)) {}

  void follow() {
    {
      const std::scoped_lock Lock(Mutex);
      if (std::exchange(IsFollowing, true))
        return;
    }
    tick();
  }

  void tick() {
    post(session_event::peers_seen{Links.Peers.peers()});
    Links.Timers.after(config::SessionTick, [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->tick();
    });
  }

  void bind(session_claim Claim, bound_reply Done) {
    std::uint64_t Ticket = 0;
    {
      const std::scoped_lock Lock(Mutex);
      Ticket = ++Tickets;
      Binding.emplace(Ticket, std::move(Done));
    }
    post(session_event::bind{Ticket, std::move(Claim)});
  }

  void serve(session_message Message, link_reply Reply) {
    std::uint64_t Call = 0;
    {
      const std::scoped_lock Lock(Mutex);
      Call = ++Tickets;
      Serving.emplace(Call, std::move(Reply));
    }
    post(session_event::asked{Call, std::move(Message)});
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
  T take(std::map<std::uint64_t, T> &From, std::uint64_t Ticket) {
    const std::scoped_lock Lock(Mutex);
    return std::move(From.extract(Ticket).mapped());
  }

  void perform(const session_action::send &Send) {
    Links.Link.call(
        Send.To.EntryLink, SessionPath, pack(Send.Message),
        config::SessionCallTimeout,
        [Weak = weak_from_this(), Round = Send.Round,
         Vm = Send.To.Vm](const result<std::string> &Reply) {
          const auto Self = Weak.lock();
          if (!Self || Round == 0)
            return;
          Self->post(session_event::answered{
              Round, Vm,
              Reply ? unpack<std::vector<session_claim>>(
                          Reply.value(), error_kind::PeerIncompatible)
                    : result<std::vector<session_claim>>(Reply.error())});
        });
  }

  void perform(const session_action::answer &Answer) {
    const link_reply Reply = take(Serving, Answer.Call);
    if (!Answer.Claims)
      return Reply(Answer.Claims.error());
    Reply(pack(Answer.Claims.value()));
  }

  void perform(const session_action::bound &Bound) {
    const bound_reply Done = take(Binding, Bound.Ticket);
    if (Bound.Error)
      return Done(Bound.Error);
    Done(Bound.Binding);
  }

  session_links Links;
  mutable std::mutex Mutex;
  session_directory Directory;
  bool IsFollowing = false;
  std::uint64_t Tickets = 0;
  std::map<std::uint64_t, bound_reply> Binding;
  std::map<std::uint64_t, link_reply> Serving;
};

session_service::session_service(const session_links &Links, peer_info Self)
    : Host(std::make_shared<host>(Links, std::move(Self))) {}

session_service::~session_service() = default;

void session_service::follow() { Host->follow(); }

void session_service::bind(session_claim Claim, bound_reply Done) {
  Host->bind(std::move(Claim), std::move(Done));
}

void session_service::serve(std::string_view Body, link_reply Reply) {
  auto Message = unpack<session_message>(Body, error_kind::PeerIncompatible);
  if (!Message)
    return Reply(Message.error());
  Host->serve(std::move(Message).value(), std::move(Reply));
}

std::size_t session_service::size() const { return Host->size(); }

} // namespace clementinelane
