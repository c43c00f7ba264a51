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
/// Bytes of a streamed answer that wait for a caller that reads slowly: some
/// 150 events, or 6 s at 41 ms a token. Two hundred such callers hold 8 MiB.
constexpr std::size_t MaxUnreadBytes = 40U << 10U;
/// Open requests of one customer on one VM, above which it is refused.
constexpr std::size_t MaxOpenPerCustomer = 4096;

// --- endpoints -------------------------------------------------------------

/// Attempts of one idempotent request, the first included.
constexpr unsigned MaxAttempts = 3;

// --- exchanges with endpoints (path) ---------------------------------------

/// First token of an engine, or the whole answer of an idempotent service.
/// Engines queue, so this is long.
constexpr auto FirstTokenTimeout = 10s;
/// Gap between tokens of a stream: 41 ms is usual, so 2 s is silence.
constexpr auto BetweenTokensTimeout = 2s;
/// Answer of a call that may not be repeated. Giving up on it leaves someone
/// to find out whether it ran, so it gets longer than any other.
constexpr auto AtMostOnceTimeout = 60s;
/// Telling an engine to stop an attempt; past it the engine finds out itself.
constexpr auto CancelCallTimeout = 2s;
/// Between two looks at an endpoint that said it is leaving. Few leave at one
/// time, and one that stays after all may wait this long for work.
constexpr auto LeavingProbePause = 2s;
/// Bytes taken from a stream at once.
constexpr std::size_t StreamReadBytes = 8192;
/// Bytes of one event of a stream; a token's event is under 1 KiB.
constexpr std::size_t MaxStreamEventBytes = 1U << 20U;

// --- planned stops (path) --------------------------------------------------

/// From "not ready" to the first refusal: two probes of a balancer that looks
/// every 500 ms.
constexpr auto StopGrace = 1s;
/// Without a request for this long nobody sends here any more; far above the
/// way of a request that is under way.
constexpr auto StopQuiet = 200ms;
/// A stop ends here, whatever is open: the longest deadline and what follows
/// it.
constexpr auto StopLimit = 660s;
/// Between looks at what is still open.
constexpr auto StopPoll = 10ms;

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
