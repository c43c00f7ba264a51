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

// --- quality ---------------------------------------------------------------

/// Probability that a version's quality is below its lower bound. One in
/// twenty, since the target must hold in nearly all windows of a customer.
constexpr double QualityDoubt = 0.05;
/// Rated answers by which sums may differ before a bound is worked out anew.
constexpr double BoundTolerance = 0.25;
/// Rated answers after which an old one has faded to a third. Enough to tell
/// 0.95 from 0.97, few enough to see a change within a morning.
constexpr double RatingMemory = 600;
/// Rated answers that the operators' prior and all other customers' ratings
/// count for at most, beside a customer's own. Tried on seeds 1001 to 1003: at
/// 150 a customer with harder documents stays too long (0.987 of windows
/// good), at 50 others pay more (1.03 of the clairvoyant cost, 75: 0.99).
constexpr double CustomerPriorWeight = 75;
/// Share of requests that may try a cheaper version not yet proved good
/// enough. Two in a hundred bounds both the cost of learning and the harm.
constexpr double ExplorationShare = 0.02;
/// Probability that a good roll-out is stopped within 1,920 ratings. The users
/// allow one in a hundred; half is left for what is assumed of the old version.
/// Tried on seeds 1001 to 1400: 0.005 to 0.01, restart 10 to 25, margin 0.02
/// and 0.03, equal and falling weights.
constexpr double RolloutFalseStops = 0.005;
/// How much worse than the old version a new one may be.
constexpr double RolloutMargin = 0.02;
/// Rated answers at a step before the next; a version that fell to 0.60 is
/// found within 60 of them.
constexpr std::uint64_t RolloutStepRatings = 100;
/// Ratings between two new bets of the sequential test; a drop is noticed as
/// if the test had begun at most so many ratings earlier.
constexpr std::size_t SequentialRestart = 20;
/// Bets kept; bounds memory and time of one rating.
constexpr std::size_t MaxSequentialBets = 96;
/// Bounds of the null mean, so that one rating can't decide alone.
constexpr double SmallestNullMean = 0.05;
constexpr double LargestNullMean = 0.95;
/// Share of answers sent to the rating service, beside all that explore.
constexpr double RatingShare = 0.1;
/// Answers that wait to be sent; more are dropped, since ratings are only
/// evidence. At 50 requests a second this is over a minute of outage.
constexpr std::size_t MaxSamplesWaiting = 512;
constexpr auto RaterCallTimeout = 5s;
/// Time between two reads of ratings, which are tens of seconds late anyway.
constexpr auto RatingPoll = 500ms;
/// Rated answers in a bin of the engine's signal before it counts.
constexpr double CascadeBinRatings = 20;
/// How far below the target a bin may be if surer answers make up for it.
constexpr double CascadeBinSlack = 0.05;

// --- sessions --------------------------------------------------------------

/// Age at which a session token is no longer taken. A working day and a night.
constexpr auto SessionTokenMaxAge = 24h;

// --- load: admission -------------------------------------------------------

/// Requests of one customer that wait for one pool on one VM. At 50 requests
/// a second and VM this is 10 s of one customer's whole traffic.
constexpr std::size_t MaxQueuedPerCustomer = 512;
/// Requests that wait for one pool on one VM, over all customers; a tick and a
/// prediction walk the customers, not these, so memory sets the limit.
constexpr std::size_t MaxQueuedPerPool = 2048;
/// Estimated tokens that a customer of weight 1 may send per round; about one
/// ordinary request, so that rounds are short.
constexpr double RoundTokens = 512;
/// Shares of a full pool that a priority is sure of, by priority. Somebody
/// waits at a counter, so that goes first; overnight work is due in the
/// morning and needs some progress in every minute.
constexpr double GuaranteedShare[] = {0.0, 0.25, 0.1};
/// Part of the time left that the predicted wait may fill. The prediction errs
/// by about the spread of answer lengths, which is near one half.
constexpr double MaxPredictedPart = 0.25;
/// Assumed until the first answer: 41 ms between tokens is the aim at peak,
/// and answers are about half of what callers allow.
constexpr double FirstSecondsPerToken = 0.02;
/// Shortest Retry-After of a full queue, below which callers only spin.
constexpr auto MinRetryAfter = 100ms;
/// Longest Retry-After: a prediction further out says nothing.
constexpr auto MaxRetryAfter = 60s;
/// Between ticks: expired waits are refused within this time.
constexpr auto AdmissionTick = 20ms;

// --- load: quota -----------------------------------------------------------

/// Between exchanges of demand among entry VMs; the error of a customer's
/// quota is at most what it may send in this time.
constexpr auto QuotaExchange = 1s;
/// Time constant of a customer's demand at one VM; some exchanges, so that one
/// burst doesn't move the shares.
constexpr auto DemandWindow = 5s;
/// Part of an equal share that a VM without demand keeps, for its first
/// request.
constexpr double IdleShare = 0.1;
/// Seconds of quota that a bucket holds, so that an ordinary burst passes.
constexpr double QuotaBurstSeconds = 5;

// --- load: retries ---------------------------------------------------------

/// Retries that a customer earns with each answer: one endpoint in ten may
/// fail, and all is still retried. A pool that fails whole earns none.
constexpr double RetryRatio = 0.1;
/// Retries that a quiet customer has saved up at most, and starts with. Every
/// VM has its own, so this is what a failing pool gets from each of them.
constexpr double RetryReserve = 1;

// --- load: placement -------------------------------------------------------

/// Endpoints of one pool and data centre that one VM talks to. Two choices out
/// of 32 spread load as well as out of 600, at a twentieth of the connections.
constexpr std::size_t SubsetSize = 32;
/// The same for another data centre, which is only for spilling.
constexpr std::size_t SpillSubsetSize = 8;
/// Endpoints compared for one attempt.
constexpr unsigned Choices = 3;
/// A session stays at its endpoint up to this multiple of the mean load.
constexpr double AffinityBound = 1.25;
/// Sessions and prefixes remembered per pool; 100 bytes each.
constexpr std::size_t MaxRemembered = 8192;
/// Concurrency at one endpoint from one VM: first guess and bounds. The first
/// is part of a small batch, since other VMs send too; the least is below one,
/// since the pool's sum is what admission goes by.
constexpr double FirstLimit = 2;
constexpr double MinLimit = 0.25;
constexpr double MaxLimit = 512;
/// Latency per token above the best one, up to which the limit may grow. A
/// batch slows each of its requests somewhat before it is full.
constexpr double LatencyTolerance = 1.1;
/// Part of the limit given up for an answer slower than that.
constexpr double LimitDecrease = 0.03;
/// Growth for an answer while the limit was in use, divided by the limit, so
/// that the limit grows by this much while it is used once.
constexpr double LimitIncrease = 0.3;
/// Part of the limit that counts as in use.
constexpr double LimitInUse = 0.7;
/// Part of the way that the best latency gives way to the present one with
/// each answer, so that one lucky answer doesn't bind for ever.
constexpr double BestDrift = 0.0002;
/// Slower than the pool's median by this factor, an endpoint's own limit gives
/// way whatever the pool's latency is.
constexpr double UnevenTolerance = 1.5;
/// Weight of an answer in the latency of its pool: some seconds of one VM.
constexpr double PoolLatencyWeight = 0.02;
/// Answers before the pool's latency is compared.
constexpr unsigned PoolSamples = 50;
/// Weight of a new latency sample.
constexpr double LatencyWeight = 0.1;
/// Slower than the pool's median by this factor is ejected; batches differ by
/// two, broken hardware by more.
constexpr double SlowFactor = 4;
/// Answers before an endpoint may be called slow.
constexpr unsigned SlowSamples = 3;
/// Failures in a row that eject.
constexpr unsigned FailuresToEject = 3;
/// Largest part of a pool's endpoints that may be ejected; with more gone the
/// fault is not the endpoints', and the rest would drown.
constexpr double MaxEjectedPart = 0.34;
/// First ejection, doubled for each that follows, and its bound.
constexpr auto EjectTime = 5s;
constexpr auto MaxEjectTime = 300s;
/// A newcomer takes its full share after this time; caches and batches warm up.
constexpr auto SlowStart = 20s;
/// First share of a newcomer.
constexpr double SlowStartShare = 0.1;
/// Between looks at medians, stuck endpoints and spilling; a look walks the
/// subset, so it isn't done for every attempt.
constexpr auto PlacementCheck = 50ms;
/// Age at which an endpoint's report of its load says nothing any more.
constexpr auto LoadReportMaxAge = 5s;
/// Own changes kept to set a late report right.
constexpr std::size_t LoadHistory = 64;
/// Utilisation of the own data centre that starts and ends spilling; the gap
/// keeps a load near one of them from flapping.
constexpr double SpillStart = 0.9;
constexpr double SpillEnd = 0.6;
/// Shortest time in either state: an answer or two, so that the effect of the
/// last change is seen before the next.
constexpr auto SpillHold = 3s;
/// Cost of another data centre of the region, and of another region, as a
/// factor on the expected time.
constexpr double NearCost = 1.2;
constexpr double FarCost = 2;

} // namespace clementinelane::config
