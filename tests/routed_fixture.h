#pragma once

#include "routed_request.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace clementinelane {

/// Records the decisions of a request.
struct recorded_outputs final : request_outputs {
  std::vector<attempt_spec> Attempts;
  unsigned Cancelled = 0;
  unsigned Lookups = 0; ///< session lookups at the owners
  bool HasBegun = false;
  bool HasEnded = false;
  bool IsAborted = false;
  std::string Bytes;
  std::optional<endpoint_response> Begun; ///< a long plain answer
  std::optional<endpoint_response> Whole;
  std::string WholeBody;
  std::optional<refusal> Refused;
  std::vector<session_placement> Placings;
  std::vector<std::string> Notes;

  void startAttempt(const attempt_spec &Spec) override {
    Attempts.push_back(Spec);
  }
  void cancelAttempt() override { ++Cancelled; }
  void beginStream(const endpoint_response &) override { HasBegun = true; }
  void beginAnswer(const endpoint_response &Response) override {
    Begun = Response;
  }
  void writeStream(std::string_view Text) override { Bytes += Text; }
  void endStream() override { HasEnded = true; }
  void abortStream() override { IsAborted = true; }
  void sendResponse(const endpoint_response &Response,
                    std::string_view Body) override {
    Whole = Response;
    WholeBody = Body;
  }
  void refuse(const refusal &Refusal) override { Refused = Refusal; }
  void lookUpSession() override { ++Lookups; }
  void logPlacement(const session_placement &Placing) override {
    Placings.push_back(Placing);
  }
  void logDecision(std::string_view Decision, std::string_view Reason,
                   std::string_view) override {
    Notes.push_back(std::string(Decision) + ":" + std::string(Reason));
  }
  void logGate(const gate_decision &Decision, unsigned) override {
    Notes.push_back("gate:" + std::string(Decision.Rule));
  }
};

/// An engine service and a plain service with their endpoints, and requests to
/// them.
struct routed_fixture {
  mono_time Now{std::chrono::hours(1)};
  bool AreKeysGood = true;
  std::vector<session_run> Runs; ///< published to other VMs
  endpoint_directory Directory{std::chrono::seconds(2)};
  peer_loads Peers;
  endpoint_choice Choice;
  fleet_retry_budget Budget{{0.9, std::chrono::seconds(10), 3}};
  model_cascade Cascade;
  engine_pace Pace;
  request_mix Mix;
  answer_quality Quality;
  request_quarantine Quarantine;
  part_quarantine Parts;
  service_shares Shares{1};
  return_schedule Returns;
  admission_gate Gate{Shares, Returns};
  std::vector<std::string>
      BrokenConnections; ///< endpoints whose connections broke
  /// Pauses told to peers: endpoint, peer.
  std::vector<std::pair<std::string, std::string>> PeerPauses;
  std::map<std::string, version_shift, std::less<>> Shifts;
  request_context Context{
      Choice,
      Budget,
      Cascade,
      Pace,
      Mix,
      Quality,
      Quarantine,
      Parts,
      Gate,
      [this](std::string_view Service) {
        const auto Found = Shifts.find(Service);
        return Found == Shifts.end() ? nullptr : &Found->second;
      },
      [this](mono_time) { return AreKeysGood; },
      [this](std::string_view, const session_run &Run) { Runs.push_back(Run); },
      [this](const endpoint_info &Endpoint, std::string_view,
             const crash_suspect &) {
        BrokenConnections.push_back(Endpoint.Id);
      },
      [this](const endpoint_info &Endpoint) {
        Directory.recordLeave(Endpoint.Id, Now);
      },
      [this](const endpoint_info &Endpoint, std::string_view Peer, duration) {
        PeerPauses.emplace_back(Endpoint.Id, Peer);
      },
      [] { return 0.5; }};
  std::shared_ptr<route_table> Table = std::make_shared<route_table>();
  recorded_outputs Out;
  unsigned Ids = 0;

  explicit routed_fixture(std::uint64_t Seed = 1)
      : Choice(Directory, Peers, "hall-a", Seed) {
    Table->Version = 1;
    Table->HasCustomers = true;
    route_rule Stream;
    Stream.Name = "review";
    Stream.Kind = call_kind::Streaming;
    Stream.Timeout = std::chrono::seconds(25);
    Stream.TargetLatency = std::chrono::seconds(4);
    Stream.MaxAttempts = 3;
    Stream.IsResumable = true;
    Stream.Models = {"small", "middle", "large"};
    Stream.Services = {{"engine", 1}};
    route_rule Lookup;
    Lookup.Name = "lookup";
    Lookup.Kind = call_kind::Idempotent;
    Lookup.Timeout = std::chrono::milliseconds(1200);
    Lookup.TargetLatency = std::chrono::milliseconds(150);
    Lookup.MaxAttempts = 2;
    Lookup.Services = {{"portal", 1}};
    route_rule Booking = Lookup;
    Booking.Name = "booking";
    Booking.Kind = call_kind::NonIdempotent;
    Booking.MaxAttempts = 1;
    route_rule SingleStream = Stream;
    SingleStream.Name = "single_stream";
    SingleStream.IsResumable = false;
    Table->Routes = {Stream, Lookup, Booking, SingleStream};
    service_rule Engine;
    Engine.Models = {{"small", 0.2}, {"middle", 1.2}, {"large", 2.5}};
    Table->Services.emplace("engine", Engine);
    Pace.setModels("engine", Engine.Models);
    for (const char *Id : {"e1", "e2", "e3", "e4"})
      add(Id, "engine");
    for (const char *Id : {"p1", "p2", "p3"})
      add(Id, "portal");
  }

  void add(const std::string &Id, const std::string &Service,
           const std::string &Version = "v1",
           const std::string &DataCentre = "hall-a") {
    endpoint_info Info;
    Info.Id = Id;
    Info.Service = Service;
    Info.Address = "127.0.0.1:1";
    Info.DataCentre = DataCentre;
    Info.Version = Version;
    Info.Slots = 6;
    Directory.apply(Id, Info, Now);
  }

  routed_call call(std::size_t Route) {
    routed_call Call;
    Call.Metadata.Id = "id-" + std::to_string(++Ids);
    Call.Metadata.Model = "*";
    Call.Metadata.Remaining = Table->Routes[Route].Timeout * 2;
    Call.Metadata.Parts = {{"shared", 1000}, {"own", 10}};
    Call.Body = std::make_shared<const std::string>("body");
    Call.Table = Table;
    Call.Route = &Table->Routes[Route];
    Call.Service = Call.Route->Services[0].Service;
    Call.ArrivedAt = Now;
    return Call;
  }

  std::unique_ptr<routed_request> begin(routed_call Call) {
    Out = {};
    auto Request =
        std::make_unique<routed_request>(std::move(Call), Context, Out);
    Request->begin(Now);
    return Request;
  }
  std::unique_ptr<routed_request> stream() { return begin(call(0)); }
  std::unique_ptr<routed_request> lookup() { return begin(call(1)); }
  std::unique_ptr<routed_request> booking() { return begin(call(2)); }
  /// A stream that may run once at most.
  std::unique_ptr<routed_request> singleStream() { return begin(call(3)); }

  static endpoint_response answer(unsigned Status) {
    endpoint_response Response;
    Response.Status = Status;
    Response.HasSignature = true;
    return Response;
  }
  static endpoint_response answerWithConfidence(double Confidence) {
    endpoint_response Response = answer(200);
    Response.Confidence = Confidence;
    return Response;
  }
  static endpoint_response notExecuted(bool IsMisdirected = false) {
    endpoint_response Response;
    Response.Status = IsMisdirected ? 421 : 503;
    Response.IsNotExecuted = true;
    Response.IsMisdirected = IsMisdirected;
    return Response;
  }
  static std::string event(unsigned Id) {
    return "id: " + std::to_string(Id) + "\ndata: x\n\n";
  }
};

} // namespace clementinelane
