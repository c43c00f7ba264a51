#pragma once

#include "caller_server.h"
#include "capacity/memory_account.h"
#include "capacity/vm_capacity.h"
#include "configuration_intake.h"
#include "connect_probes.h"
#include "crash_detector.h"
#include "endpoint_choice.h"
#include "endpoint_connector.h"
#include "key_lease.h"
#include "lifetime.h"
#include "peer_datagrams.h"
#include "peer_loads.h"
#include "platform.h"
#include "return_exchange.h"
#include "return_schedule.h"
#include "routed_request.h"
#include "router_metrics.h"
#include "router_settings.h"
#include "run_registry.h"
#include "tunnel_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>

namespace clementinelane {

/// The data path of one VM on a platform: accepts callers' requests and proxies
/// them to endpoints as routed_request decides. Runs on a single thread, since
/// a VM has only a fraction of a core.
class router final : public platform_events,
                     private run_transport,
                     private run_records,
                     private tunnel_policy,
                     private connection_policy {
public:
  router(boost::asio::io_context &Context, const runtime_clock &Clock,
         const router_settings &Settings, platform_port &Platform,
         read_relay &Relay, endpoint_connector &Connector,
         std::string MetricsAddress);
  ~router() override;
  router(const router &) = delete;
  router &operator=(const router &) = delete;

  void start();
  /// Applies new settings to later requests.
  void apply(const router_settings &Value);
  /// Starts a graceful shutdown; the context stops once no request is open.
  void stop();

  void onRoutes(route_table_ptr Value) override;
  void onRoutesConfirmed(mono_time SentAt) override;
  void onEndpoint(std::string_view Id,
                  std::optional<endpoint_info> Info) override;
  void onEndpointList(std::vector<endpoint_info> Infos) override;
  void onEndpointListReachable(bool IsReachable) override;
  void onEvacuations(std::set<std::string, std::less<>> Ordered) override;
  void onRolloutOrder(const rollout_order &Order, mono_time ReadAt) override;
  void onRolloutStatus(std::string_view Service, std::string_view Target,
                       rollout_state State) override;
  void onRolloutStatusesRead(mono_time SentAt) override;
  bool onReport(std::string_view Bytes) override;
  void onReportsRead(mono_time SentAt) override;
  bool onQuarantine(std::string_view Key,
                    std::optional<std::string_view> Bytes) override;
  void onPeers(const std::vector<std::string> &Addresses) override;
  void onStoreEra(std::uint64_t Era) override;
  void onRecordDropped(std::string_view Topic,
                       std::string_view Reason) override {
    Metrics.recordDropped(Topic, Reason);
  }
  void onStoreCall(std::string_view Call, bool IsOk) override {
    Metrics.platformCall(Call, IsOk);
  }

private:
  class active_request;
  /// When the roll-out status of a service became due and was last written.
  struct status_times {
    std::optional<mono_time> DueSince;
    mono_time WrittenAt{};
  };

  void sendRunMessage(const std::string &Address,
                      std::string_view Bytes) override;
  std::optional<session_run> lastRun(const session_key &Key,
                                     mono_time Now) const override;
  void takeRun(const session_key &Key, const session_run &Run,
               mono_time Now) override;
  bool coversSessionTtl(mono_time Now) const override;

  tunnel_admission admitTunnel(std::string_view Sender, std::string_view Target,
                               std::size_t OpenTunnels) override;
  duration tunnelConnectTimeout(std::string_view Target) const override;
  void onTunnelConnect(std::string_view Target,
                       std::optional<connect_failure> Failure,
                       duration Elapsed) override;

  mono_time now() const { return Clock.bootNow(); }
  void onRequest(std::shared_ptr<caller_exchange> Exchange);
  void refuse(caller_exchange &Exchange, const refusal &Refusal,
              std::string_view Id);
  void answerReady(caller_exchange &Exchange) const;
  void answerMetrics(caller_exchange &Exchange);
  bool isReady() const;
  /// Whether a request may be served, as far as its head tells.
  struct head_verdict {
    error_kind Refusal = error_kind::Ok;
    const route_rule *Route = nullptr;
    customer_rule Customer{};
  };
  head_verdict judgeHead(const http_head &Head, const call_metadata &Metadata,
                         mono_time Now) const;
  early_answer refusalAnswer(const refusal &Refusal, std::string_view Id);
  std::optional<early_answer> checkHead(const http_head &Head,
                                        body_terms &Terms) override;
  void onDropped(std::string_view Reason) override;
  std::optional<double> acceptConnection() override;
  void leftUnread(std::size_t Connections) override;
  duration acceptPause() override;
  void releaseReservation(double Reserved) override;
  bool keepsConnection() override;
  std::size_t openSockets() const;
  /// Number of VMs in the fleet, including this one.
  std::size_t knownVms() const;
  bool areKeysValid(mono_time Now) const { return Lease.isValid(Now); }
  version_shift *shiftOf(std::string_view Service);
  version_shift &ensureShift(std::string_view Service);
  void configure(version_shift &Shift) const;
  duration maxRouteTimeout() const;
  void onTakenBack(const std::string &DataCentre);
  void updateEndpoints(std::string_view Service);
  void updateAllEndpoints();
  void armTick();
  void tick();
  void tickReachability(mono_time Now);
  void tickSharedLimits(mono_time Now);
  void updateColdRules();
  std::string regionOf(std::string_view DataCentre) const;
  void logEstimates(mono_time Now);
  void tickRollouts(mono_time Now);
  void publishReport(const version_shift &Shift, mono_time Now);
  void sendReport(const version_shift &Shift, mono_time Now);
  void tickDigest(mono_time Now);
  void onMessage(peer_message Kind, const std::string &Sender,
                 std::string_view Bytes);
  void onDigest(const std::string &Sender, std::string_view Bytes);
  void onSessionRuns(const std::string &Sender, std::string_view Bytes);
  void publishRun(std::string_view Service, const session_run &Run);
  void lookUpSession(std::string_view Service, std::uint64_t Session,
                     std::function<void(bool IsAnswered)> Handler);
  void tickRuns(mono_time Now);
  void armRunsTimer();
  void onConnectionBroken(const endpoint_info &Endpoint, std::string_view Peer,
                          crash_suspect Suspect);
  /// Asks a peer to connect to an endpoint that this VM can't connect to.
  /// `OnDone`: whether the peer did; none if no peer answered.
  void probeThroughPeer(const endpoint_info &Endpoint,
                        std::function<void(std::optional<bool>)> OnDone);
  void probeForCrash(const endpoint_info &Endpoint);
  void tickLostGroups(mono_time Now);
  std::string digest(mono_time Now);
  void onEndpointLeaving(const endpoint_info &Endpoint);
  void applyPeerLeaves(std::span<const leave_note> Notes);
  void onEndpointCrashed(const endpoint_info &Endpoint,
                         std::span<const crash_suspect> Suspects);
  void onCrashNotes(std::string_view Bytes);
  void onPartNotes(std::string_view Bytes);
  bool onStoredParts(std::string_view Key,
                     std::optional<std::string_view> Bytes);
  void sendPartNotes(mono_time Now);
  void tickParts(mono_time Now);
  void tickQuarantine(mono_time Now);
  void sendCrashNotes(mono_time Now);
  void onRejections(std::string_view Bytes);
  void onPeerPause(std::string_view Bytes);
  void onPeerReturns(std::string_view Bytes);
  void sendPause(const endpoint_info &Endpoint, std::string_view Peer,
                 duration Pause);
  void sendRejections();
  void storeQuarantined(mono_time Now);
  void releaseRequest(std::uint64_t Request);
  duration ageOf(std::int64_t WallMs) const;
  void updateReadiness();
  void renewKeyLease();
  void tickIntake(mono_time Now);
  void onConfigurationQuery(const std::string &Sender, std::string_view Bytes);
  void onConfigurationReply(const std::string &Sender, std::string_view Bytes);
  void logUnread(mono_time Now);
  void advanceStop();
  void publishStrandedSessions(std::string_view Service,
                               const version_shift &Shift);
  double random();

  boost::asio::io_context &Context;
  const runtime_clock &Clock;
  router_settings Settings;
  platform_port &Platform;
  read_relay &Relay;
  endpoint_connector &Connector;
  std::uint64_t Incarnation; ///< wall-clock start time in nanoseconds
  mono_time StartedAt;
  route_table_ptr Table;
  key_lease Lease;
  configuration_intake Intake;
  endpoint_directory Directory;
  peer_loads Loads;
  endpoint_choice Choice;
  fleet_retry_budget Budget;
  model_cascade Cascade;
  engine_pace Pace;
  request_mix Mix;
  answer_quality Quality;
  crash_detector Crashes;
  request_quarantine Quarantine;
  part_quarantine Parts;
  service_shares Shares;
  return_schedule Returns;
  return_exchange ReturnNotes;
  admission_gate Gate{Shares, Returns};
  mono_time EstimatesLoggedAt{};
  std::map<std::string, std::unique_ptr<version_shift>, std::less<>> Shifts;
  std::map<std::string, status_times, std::less<>> StatusTimes;
  vm_capacity Capacity;
  memory_account_ptr Memory;
  request_context Requests;
  router_metrics Metrics;
  std::set<std::shared_ptr<active_request>> ActiveRequests;
  connect_probes Probes;
  std::unique_ptr<caller_server> Callers;
  std::unique_ptr<caller_server> Ready;
  std::unique_ptr<caller_server> MetricsServer;
  std::unique_ptr<peer_datagrams> Peers;
  std::unique_ptr<tunnel_server> Tunnels;
  std::optional<std::uint64_t>
      VmsGeneration; ///< peer list that the rate shares are based on
  std::uint64_t DigestSequence = 0;
  run_registry Runs;
  boost::asio::steady_timer RunsTimer;
  mono_time RunPeersSetAt{};
  mono_time RunsCompleteSince; ///< no missed session runs since then
  mono_time LastTickAt;
  mono_time DigestSentAt{};
  std::string MetricsAddress;
  boost::asio::steady_timer Tick;
  mono_time ReportedAt{};
  std::optional<mono_time> StoppingAt;
  bool HasEndedRequests = false; ///< those still open at the stop's end
  std::uint64_t StoreEra = 0;    ///< 0: has not changed since the start
  bool HasClosedIdle = false;
  std::vector<std::uint32_t> LostGroups; ///< as last sent to the peers
  bool WasReady = false;
  std::uint64_t UnreadLogged = 0; ///< connections left unread, as last logged
  std::uint64_t PausesLogged = 0; ///< pauses of accepting, as last logged
  mono_time UnreadLoggedAt{};
  bool ArePeersKnown = false;
  bool AreStatusesKnown = false;
  std::uint64_t RandomState;
  lifetime Life;
};

} // namespace clementinelane
