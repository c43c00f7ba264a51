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

// --- at most once -----------------------------------------------------------

/// Streams that hold intents. Fixed, since a key must be looked for where it
/// was placed; above the number of data centres, so that each is home to one.
constexpr std::uint64_t IntentStreams = 16;
/// Appends a second for intents and outcomes of the whole fleet; the log takes
/// several hundred, and configuration, usage and leases need theirs.
constexpr std::uint64_t IntentAppendsPerSecond = 160;
/// Least time between two appends of one stream, so that the budget holds
/// whatever the number of requests.
constexpr auto IntentAppendSpacing =
    std::chrono::milliseconds(1000 * IntentStreams / IntentAppendsPerSecond);
/// Wait for more intents before a group goes out on an idle stream.
constexpr auto IntentGather = 2ms;
/// Bytes and records of one group; one append stays small.
constexpr std::size_t MaxIntentGroupBytes = 512U << 10U;
constexpr std::size_t MaxIntentGroupRecords = 512;
/// Bytes of intents that wait for one stream's append; four groups.
constexpr std::size_t MaxIntentWaitingBytes = 2U << 20U;
/// Longest wait of an intent that was not appended yet, then it is refused.
constexpr auto IntentWaitLimit = 1s;
/// Time that a key is remembered. Must stay below the log's retention. At 30
/// non-idempotent requests a second and stream this is 216,000 keys.
constexpr auto IntentWindow = 2h;
/// An intent that lands later than this behind the stream's time is void:
/// above any append under way, far below IntentWindow.
constexpr auto IntentLandingLimit = 60s;
/// After this a request without an outcome counts as lost with its VM; above
/// MaxDeadline, the longest run.
constexpr auto IntentRunLimit = MaxDeadline + 60s;
/// Bytes of one kept answer; a booking's confirmation is a few hundred.
constexpr std::size_t MaxKeptAnswerBytes = 64U << 10U;
/// Bytes of all kept answers of one stream on a scribe, oldest dropped first.
constexpr std::size_t MaxKeptAnswersBytes = 16U << 20U;
/// Bytes of all keys of one stream on a scribe; above it new ones are refused.
constexpr std::size_t MaxIntentTableBytes = 96U << 20U;
/// Scribes of a stream: a second one for when the first does not answer.
constexpr std::size_t IntentScribes = 2;
/// Threads for calls to the log from one entry; apart from the threads of HTTP,
/// which the calls themselves need.
constexpr std::size_t LogCallThreads = 4;
/// One call to a scribe: gather, spacing, one append and one read.
constexpr auto IntentCallTimeout = 1500ms;
/// A won intent older than this is not dispatched: a process that was paused
/// must not run what others may have judged since. Far below IntentWindow.
constexpr auto IntentDispatchLimit = 30s;
/// Outcomes that a VM still owes the log, in bytes, and how often it tries.
constexpr std::size_t MaxOwedOutcomeBytes = 8U << 20U;
constexpr auto OwedOutcomeRetry = 500ms;
/// Outcomes sent at once when the log is back; one group.
constexpr std::size_t OwedOutcomeBatch = MaxIntentGroupRecords;
/// Longest wait of a planned stop for what this VM still owes the log or its
/// peers.
constexpr auto DrainOwedLimit = 5s;

// --- billed once ------------------------------------------------------------

/// Appends a second for usage of the whole fleet; each VM spaces its own by
/// their number, so 1,100 VMs append every 11 s and nine every 90 ms.
constexpr std::uint64_t UsageAppendsPerSecond = 100;
/// Wait for more records before a batch goes to the holders.
constexpr auto UsageGather = 3ms;
/// Bytes of one append, and of one batch to a holder.
constexpr std::size_t MaxUsageGroupBytes = 512U << 10U;
/// Bytes of a VM's own usage that the log doesn't have yet. At 50 requests a
/// second of 300 bytes this is about 50 minutes of outage.
constexpr std::size_t MaxUsageOwnBytes = 48U << 20U;
/// Bytes held for other VMs; each VM has two holders, so twice its own.
constexpr std::size_t MaxUsageHeldBytes = 2 * MaxUsageOwnBytes;
/// VMs beside its own that hold a record before the last byte goes out.
constexpr std::size_t UsageHolders = 2;
/// One call to a holder, and how long one that failed is passed over.
constexpr auto UsageHoldTimeout = 500ms;
constexpr auto UsageHolderPause = 3s;
/// Longest wait for a record to be kept; the caller then gets an error.
constexpr auto UsageKeepLimit = 3s;
/// A VM that membership misses for this long counts as lost; the second holder
/// waits twice as long, so that mostly one of them appends.
constexpr auto UsageTakeoverDelay = 5s;
/// Held records that nobody released are appended after this; repeats are
/// dropped by whoever reads. Above the spacing of 1,100 VMs several times.
constexpr auto UsageHoldLimit = 5min;
/// How often peers and times are looked at.
constexpr auto UsageTick = 250ms;

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
/// VMs that know the version of a session whose caller sends only its id; one
/// of them may be down and another wrong without a second version.
constexpr std::size_t SessionHolders = 3;
/// Holders that must agree, or have recorded a binding, before the first byte.
constexpr std::size_t SessionQuorum = 2;
/// One call to a holder, also in another region; a request waits for it.
constexpr auto SessionCallTimeout = 300ms;
/// Bindings on one VM, of about 300 bytes: 30 MiB.
constexpr std::size_t MaxSessions = 100'000;
/// Bindings in one message between VMs.
constexpr std::size_t SessionBatch = 2'000;
/// How often membership is looked at for sessions.
constexpr auto SessionTick = 500ms;

} // namespace clementinelane::config
