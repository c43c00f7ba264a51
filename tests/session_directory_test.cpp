#define BOOST_TEST_MODULE session_directory
#include "config.h"
#include "session_directory.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace clementinelane;
namespace event = session_event;
namespace action = session_action;

namespace {

/// VMs with a directory each; messages wait until they are delivered or lost.
struct fleet {
  struct message {
    std::string From;
    action::send Send;
  };

  explicit fleet(int Vms) {
    for (int Index = 0; Index < Vms; ++Index)
      start();
    see();
    run();
  }

  std::string start() {
    peer_info Self;
    Self.Vm = "vm-" + std::to_string(Started);
    Self.DataCentre = Started % 2 ? "dc-b" : "dc-a";
    ++Started;
    Infos[Self.Vm] = Self;
    Directories.emplace(Self.Vm, session_directory(Self));
    return Self.Vm;
  }
  void kill(const std::string &Vm) {
    Directories.erase(Vm);
    Infos.erase(Vm);
  }
  void see(const std::string &Vm) {
    std::vector<peer_info> Peers;
    for (const auto &[Other, Info] : Infos)
      if (Other != Vm)
        Peers.push_back(Info);
    post(Vm, event::peers_seen{Peers});
  }
  void see() {
    for (const std::string &Vm : vms())
      see(Vm);
  }
  std::vector<std::string> vms() const {
    std::vector<std::string> Vms;
    for (const auto &[Vm, Info] : Infos)
      Vms.push_back(Vm);
    return Vms;
  }

  std::vector<session_output> handle(const std::string &Vm,
                                     const session_input &Event) {
    const auto Found = Directories.find(Vm);
    if (Found == Directories.end())
      return {};
    return Found->second.handle(Event, Now);
  }
  void post(const std::string &Vm, const session_input &Event) {
    for (session_output &Out : handle(Vm, Event)) {
      if (auto *Send = std::get_if<action::send>(&Out))
        Messages.push_back({Vm, std::move(*Send)});
      else if (auto *Bound = std::get_if<action::bound>(&Out))
        BOOST_REQUIRE(Results.emplace(Bound->Ticket, *Bound).second);
    }
  }

  /// Delivers a message, or loses it or its answer.
  void deliver(std::size_t Index, bool IsLost = false,
               bool IsAnswerLost = false) {
    const message Message = Messages[Index];
    Messages.erase(Messages.begin() + static_cast<std::ptrdiff_t>(Index));
    const auto &[Round, To, Body] = Message.Send;
    std::vector<session_claim> Claims;
    bool IsAnswered = false;
    if (!IsLost)
      for (session_output &Out : handle(To.Vm, event::asked{0, Body}))
        if (auto *Given = std::get_if<action::answer>(&Out);
            Given && Given->Claims) {
          Claims = Given->Claims.value();
          IsAnswered = !IsAnswerLost;
        }
    if (Round == 0)
      return;
    if (IsAnswered)
      post(Message.From, event::answered{Round, To.Vm, std::move(Claims)});
    else
      post(Message.From,
           event::answered{Round, To.Vm, error_kind::PeerUnavailable});
  }
  void run() {
    while (!Messages.empty())
      deliver(0);
  }

  std::uint64_t bind(const std::string &Vm, const std::string &Session,
                     const std::string &Version) {
    const std::uint64_t Ticket = ++Tickets;
    post(Vm, event::bind{Ticket,
                         {{"c", Session, "w", Version, 7, 1},
                          "r" + std::to_string(Ticket),
                          false}});
    return Ticket;
  }
  std::string versionOf(std::uint64_t Ticket) const {
    const auto Found = Results.find(Ticket);
    if (Found == Results.end())
      return "open";
    if (Found->second.Error)
      return "refused";
    return Found->second.Binding ? Found->second.Binding->Version : "unknown";
  }
  std::string ask(const std::string &Vm, const std::string &Session,
                  const std::string &Version) {
    const auto Ticket = bind(Vm, Session, Version);
    run();
    return versionOf(Ticket);
  }

  mono_time Now{};
  int Started = 0;
  std::map<std::string, session_directory> Directories;
  std::map<std::string, peer_info> Infos;
  std::vector<message> Messages;
  std::map<std::uint64_t, action::bound> Results;
  std::uint64_t Tickets = 0;
};

} // namespace

// A conversation goes on while every VM is replaced, one after another. Asked
// anywhere, and with another version proposed, it stays on its version.
BOOST_AUTO_TEST_CASE(session_outlives_the_vms_that_held_it) {
  for (const bool IsReplaced : {true, false}) {
    fleet Fleet(12);
    BOOST_TEST(Fleet.ask("vm-0", "s", "m@1") == "m@1");
    for (int Round = 0; Round < 10; ++Round) {
      Fleet.kill(Fleet.vms().front());
      if (IsReplaced)
        Fleet.start();
      Fleet.see();
      Fleet.run();
    }
    for (const std::string &Vm : Fleet.vms())
      BOOST_TEST(Fleet.ask(Vm, "s", "m@2") == "m@1");
  }
}

// Two holders were lost at once and those in their place don't know the session
// yet. They agree on a new version before the third, which knows the old one,
// has answered; it is waited for.
BOOST_AUTO_TEST_CASE(the_last_holder_that_knows_is_waited_for) {
  for (std::size_t Order = 0; Order < 16; ++Order) {
    fleet Fleet(8);
    Fleet.ask("vm-0", "s", "m@1");
    std::vector<peer_info> Vms;
    for (const auto &[Vm, Info] : Fleet.Infos)
      Vms.push_back(Info);
    const auto Holders = sessionHolders("c", "s", Vms);
    Fleet.kill(Holders[0].Vm);
    Fleet.kill(Holders[1].Vm);
    Fleet.see();
    while (!Fleet.Messages.empty())
      Fleet.deliver(0, true);
    const auto Ticket = Fleet.bind(Fleet.vms()[Order % 6], "s", "m@2");
    for (std::size_t Step = Order; !Fleet.Messages.empty(); Step = Step * 5 + 3)
      Fleet.deliver(Step % Fleet.Messages.size());
    BOOST_TEST(Fleet.versionOf(Ticket) == "m@1");
  }
}

// Three first requests race and each holder has recorded another version. The
// lowest wins, but its first byte waits until two holders have it for good;
// while they can't be told, the request is refused.
BOOST_AUTO_TEST_CASE(first_byte_waits_for_the_record) {
  constexpr int Vms = 3;
  fleet Fleet(Vms);
  std::vector<std::uint64_t> Tickets;
  Tickets.reserve(Vms);
  for (int Index = 0; Index < Vms; ++Index)
    Tickets.push_back(Fleet.bind("vm-" + std::to_string(Index), "s",
                                 "m@" + std::to_string(Index)));
  Fleet.deliver(0);
  Fleet.deliver(0);
  BOOST_TEST(Fleet.versionOf(Tickets[0]) == "open");
  // vm-0's last two messages settle m@0.
  Fleet.deliver(Fleet.Messages.size() - 1, true);
  Fleet.deliver(Fleet.Messages.size() - 1, true);
  BOOST_TEST(Fleet.versionOf(Tickets[0]) == "refused");
  Fleet.run();
  BOOST_TEST(Fleet.versionOf(Tickets[1]) == "m@0");
  BOOST_TEST(Fleet.versionOf(Tickets[2]) == "m@0");
}

// Two first requests of one session race at two VMs. Whatever the order of the
// messages, both run on one version.
BOOST_AUTO_TEST_CASE(racing_first_requests_end_on_one_version) {
  for (std::size_t Order = 0; Order < 64; ++Order) {
    fleet Fleet(5);
    const auto One = Fleet.bind("vm-0", "s", "m@1");
    const auto Two = Fleet.bind("vm-1", "s", "m@2");
    for (std::size_t Step = Order; !Fleet.Messages.empty(); Step = Step * 5 + 3)
      Fleet.deliver(Step % Fleet.Messages.size());
    BOOST_TEST(Fleet.versionOf(One) == Fleet.versionOf(Two));
    BOOST_TEST(Fleet.versionOf(One) != "refused");
  }
}

// None of the session's holders answers. A version chosen anew could move the
// conversation in silence, so the request is refused.
BOOST_AUTO_TEST_CASE(no_holder_answers) {
  fleet Fleet(8);
  BOOST_TEST(Fleet.ask("vm-0", "s", "m@1") == "m@1");
  std::vector<peer_info> Vms;
  for (const auto &[Vm, Info] : Fleet.Infos)
    Vms.push_back(Info);
  const auto Holders = sessionHolders("c", "s", Vms);
  BOOST_REQUIRE(Holders.size() == config::SessionHolders);
  BOOST_TEST(Holders[0].DataCentre != Holders[2].DataCentre);
  for (const peer_info &Holder : Holders)
    Fleet.kill(Holder.Vm);
  BOOST_TEST(Fleet.ask(Fleet.vms().front(), "s", "m@2") == "refused");
}

// A fresh VM takes a holder's place and is asked before it has pulled. Its vote
// for a new version would count; it has none until its peers have told it.
BOOST_AUTO_TEST_CASE(fresh_vm_has_no_vote) {
  fleet Fleet(2);
  const std::string Fresh = Fleet.start();
  Fleet.see("vm-0");
  const auto Ticket = Fleet.bind("vm-0", "s", "m@1");
  Fleet.run();
  BOOST_TEST(Fleet.versionOf(Ticket) == "m@1");
  BOOST_TEST(Fleet.Directories.at(Fresh).size() == 1U); // settled, not voted
  const auto Out = Fleet.handle(
      Fresh,
      event::asked{1, {0, "vm-0", {{{"c", "t", "w", "m@9", 1, 1}, "x"}}}});
  BOOST_REQUIRE(Out.size() == 1U);
  BOOST_TEST(!std::get<action::answer>(Out[0]).Claims);
}

// No version takes new sessions. An unknown session is not bound by the mere
// question, and an old one of a retiring version goes on.
BOOST_AUTO_TEST_CASE(question_without_a_version_records_nothing) {
  fleet Fleet(4);
  BOOST_TEST(Fleet.ask("vm-0", "old", "m@1") == "m@1");
  BOOST_TEST(Fleet.ask("vm-1", "old", "") == "m@1");
  BOOST_TEST(Fleet.ask("vm-1", "new", "") == "unknown");
  BOOST_TEST(Fleet.ask("vm-2", "new", "m@2") == "m@2");
}

// At random: races, messages late, lost or without answer, VMs replaced one at
// a time. Whoever is told a version of a session is told the same.
BOOST_AUTO_TEST_CASE(random_faults_never_move_a_session) {
  const bool Passed = rc::check([] {
    fleet Fleet(6);
    const auto Byte = rc::gen::inRange<std::size_t>(0, 255);
    const auto Ops =
        *rc::gen::container<std::vector<std::tuple<std::size_t, std::size_t>>>(
            150, rc::gen::tuple(Byte, Byte));
    std::map<std::uint64_t, std::string> SessionOf;
    for (const auto &[Kind, A] : Ops) {
      const auto Vms = Fleet.vms();
      if (Kind % 8 < 2) {
        const std::string Session = "s" + std::to_string(A % 3);
        const auto Ticket =
            Fleet.bind(Vms[A % Vms.size()], Session, "m@" + std::to_string(A));
        SessionOf[Ticket] = Session;
      } else if (Kind % 8 < 7) {
        if (!Fleet.Messages.empty())
          Fleet.deliver(A % Fleet.Messages.size(), Kind % 8 == 5 && A % 3 == 0,
                        Kind % 8 == 6 && A % 3 == 0);
      } else if (A % 4 == 0) {
        Fleet.run();
        Fleet.kill(Vms[A % Vms.size()]);
        Fleet.start();
        Fleet.see();
        Fleet.run();
      }
    }
    Fleet.run();
    std::map<std::string, std::string> Versions;
    for (const auto &[Ticket, Session] : SessionOf) {
      const std::string Version = Fleet.versionOf(Ticket);
      RC_ASSERT(Version != "unknown");
      if (Version == "refused" || Version == "open")
        continue;
      RC_ASSERT(Versions.try_emplace(Session, Version).first->second ==
                Version);
    }
  });
  BOOST_TEST(Passed);
}
