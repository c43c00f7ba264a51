#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Every tunable limit of the system, with its unit and its reason.
namespace clementinelane::config {

using namespace std::chrono_literals;

// --- callers ---------------------------------------------------------------

/// Bytes. A whole bank statement with its ledger stays under 1 MiB; four times
/// that bounds the memory one caller can claim.
constexpr std::size_t MaxBodyBytes = 4U << 20U;
/// Bytes of one header value that we read ourselves.
constexpr std::size_t MaxHeaderBytes = 1024;
/// Time for a body to arrive whole; a slow sender must not hold a connection.
constexpr auto BodyTimeout = 10s;
/// Deadline of a request that names none, and the longest one it may name.
constexpr auto DefaultDeadline = 60s;
constexpr auto MaxDeadline = 600s;
/// Open requests of one customer on one VM, above which it is refused.
constexpr std::size_t MaxOpenPerCustomer = 4096;

// --- endpoints -------------------------------------------------------------

/// First byte from an endpoint. Engines queue, so this is long.
constexpr auto FirstByteTimeout = 10s;
/// Gap between bytes of a stream: 41 ms is usual, so 2 s is silence.
constexpr auto BetweenBytesTimeout = 2s;
/// Attempts of one idempotent request, the first included.
constexpr unsigned MaxAttempts = 3;

// --- the log ---------------------------------------------------------------

/// One call to the log service.
constexpr auto LogCallTimeout = 2s;
/// Long poll for new records; below LogCallTimeout so that it ends first.
constexpr auto LogPollWait = 1s;
/// Records fetched by one read.
constexpr std::size_t LogReadBatch = 512;
/// Bytes of one configuration change, so that one append stays small.
constexpr std::size_t MaxChangeBytes = 1U << 20U;
/// Configuration schema that this program writes and can judge.
constexpr std::uint32_t ConfigSchema = 1;

/// Usage records that wait for the log on one VM. At 50 requests a second and
/// VM this is about three minutes of outage.
constexpr std::size_t MaxUsageWaiting = 10'000;

// --- configuration from the log --------------------------------------------

/// How long a reader that follows the log may lag a peer before it fetches the
/// peer's state; a read takes under LogPollWait.
constexpr auto BehindPatience = 1500ms;
/// Between questions for a peer's offset; far below the 8 s in which a change
/// must be in force, and 100 bytes each.
constexpr auto PeerCheckInterval = 2s;
/// The same while a VM starts, which must not wait for rounds.
constexpr auto StartPeerInterval = 100ms;
/// How long a VM that starts waits for peers before it goes on with the log
/// alone; more than one LinkCallTimeout.
constexpr auto StartPeerWait = 3s;
/// Between the VMs that may append a snapshot, in rendezvous order; an append
/// and a read of it fit in.
constexpr auto SnapshotRankDelay = 2s;
/// Before the same VM tries again.
constexpr auto SnapshotRetryDelay = 30s;
/// Between searches of the log for a snapshot.
constexpr auto SnapshotScanPause = 5s;
/// One call of an operator; control may ask all its peers in it.
constexpr auto OperatorCallTimeout = 5s;
/// Verdicts that control keeps for `publish` to ask for: two hours of a day of
/// 25,000 changes.
constexpr std::size_t MaxVerdicts = 2000;
/// Tick of the machines in control.
constexpr auto ControlTick = 100ms;

// --- leases, orders to engines, roll-outs -----------------------------------

/// A lease lasts so long after its record was sent. Thrice the renewal, so
/// that two lost renewals do not lose it; one lease a data centre, renewed
/// every 10 s by one VM, is under two appends a second for 10 data centres.
constexpr auto LeaseDuration = 30s;
constexpr auto LeaseRenewInterval = 10s;
/// Between the VMs that may claim a free lease.
constexpr auto LeaseRankDelay = 1s;
/// Drift of two clocks over a lease, with room: 1 s in 30 s is 3%.
constexpr auto ClockDrift = 1s;
/// Own lease records that may be under way.
constexpr std::size_t MaxLeaseRecordsWaiting = 8;
/// An engine has answered an order, or it is unknown whether it took effect.
constexpr auto OrderTimeout = 10s;
/// Before an engine that did not answer is asked again.
constexpr auto EngineRetryDelay = 5s;
/// Loads that one data centre asks of the weight store, which is rate limited.
constexpr double WeightLoadsPerSecond = 0.5;
constexpr double WeightLoadBurst = 2;
/// A step stays at least so long, whatever the statistics say: sessions are
/// long, and their answers are rated late.
constexpr auto MinRolloutStepTime = 5min;
/// Before a step whose outcome is not seen is proposed again.
constexpr auto RolloutRetryDelay = 10s;

// --- our own processes -----------------------------------------------------

/// Bytes of one message between our processes.
constexpr std::size_t MaxLinkMessageBytes = 16U << 20U;
/// One call between our processes on one VM or one data centre.
constexpr auto LinkCallTimeout = 2s;
/// How long control holds an entry's question for a newer configuration; far
/// below the 8 s in which a change must be in force.
constexpr auto SnapshotPollWait = 1s;
/// Wait between tries when a peer or the log does not answer.
constexpr auto ReconnectDelay = 200ms;

// --- sessions --------------------------------------------------------------

/// Age at which a session token is no longer taken. A working day and a night.
constexpr auto SessionTokenMaxAge = 24h;

} // namespace clementinelane::config
