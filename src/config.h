#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

/// Every tunable limit of the system, with its unit and its reason.
namespace clementinelane::config {

using namespace std::chrono_literals;

// --- callers ---------------------------------------------------------------

/// Bytes. A large request, such as a bank statement with its ledger, is under
/// 1 MiB; four times that bounds the memory that one caller can use.
constexpr std::size_t MaxBodyBytes = 4U << 20U;
/// Maximum bytes of a header value that the entry parses.
constexpr std::size_t MaxHeaderBytes = 1024;
/// Default deadline of a request, and the maximum that it may set.
constexpr auto DefaultDeadline = 60s;
constexpr auto MaxDeadline = 600s;
/// Bytes of a streamed answer buffered for a slow caller: about 150 events, or
/// 6 s at 41 ms a token. Two hundred such callers use 8 MiB.
constexpr std::size_t MaxStreamBufferBytes = 40U << 10U;

// --- endpoints -------------------------------------------------------------

/// Maximum attempts of one idempotent request, including the first.
constexpr unsigned MaxAttempts = 3;

// --- exchanges with endpoints (path) ---------------------------------------

/// Time to an engine's first token, or to the complete answer of an idempotent
/// service. Long, since engines queue requests.
constexpr auto FirstTokenTimeout = 10s;
/// Time between two tokens of a stream. 41 ms is usual, so 2 s is a stall.
constexpr auto InterTokenTimeout = 2s;
/// Time to the answer of a non-idempotent call. Longer than the others, since
/// after a timeout someone must find out whether the call ran.
constexpr auto AtMostOnceTimeout = 60s;
/// Timeout of a cancel call to an engine; without it the engine stops on its
/// next write.
constexpr auto CancelCallTimeout = 2s;
/// Interval between probes of an endpoint that said it is leaving. Few leave at
/// a time; one that stays after all may get no work for this long.
constexpr auto LeavingProbeInterval = 2s;
/// Maximum bytes per read of a stream.
constexpr std::size_t StreamReadBytes = 8192;
/// Maximum bytes of one stream event; a token's event is under 1 KiB.
constexpr std::size_t MaxStreamEventBytes = 1U << 20U;

// --- planned stops (path) --------------------------------------------------

/// Time from "not ready" to the first refusal: two probes of a load balancer
/// that probes every 500 ms.
constexpr auto StopGrace = 1s;
/// After this long without a request no caller sends to this VM any more; far
/// above the network delay of a request in transit.
constexpr auto StopQuietPeriod = 200ms;
/// A shutdown is forced after this time: the longest deadline plus the work
/// that follows it.
constexpr auto StopTimeout = 660s;
/// Interval at which open requests are checked during a shutdown.
constexpr auto StopPollInterval = 10ms;

// --- the log ---------------------------------------------------------------

/// Timeout of one call to the log service.
constexpr auto LogCallTimeout = 2s;
/// Duration of a long poll for new records; below LogCallTimeout so that it
/// ends first.
constexpr auto LogPollWait = 1s;
/// Maximum number of records fetched by one read.
constexpr std::size_t LogReadBatch = 512;
/// Maximum size of one configuration change in bytes; keeps an append small.
constexpr std::size_t MaxChangeBytes = 1U << 20U;
/// Configuration schema that this program writes, and the newest it evaluates.
constexpr std::uint32_t ConfigSchema = 1;

// --- at most once -----------------------------------------------------------

/// Number of streams for intents. Fixed, since it determines the stream of each
/// key; above the number of data centres, so that each can be home to a stream.
constexpr std::uint64_t IntentStreams = 16;
/// Appends per second for intents and outcomes of the whole fleet. The log
/// takes several hundred, shared with configuration, usage and leases.
constexpr std::uint64_t IntentAppendsPerSecond = 160;
/// Minimum time between two appends of one stream, which keeps the append rate
/// within IntentAppendsPerSecond at any request rate.
constexpr auto IntentAppendSpacing =
    std::chrono::milliseconds(1000 * IntentStreams / IntentAppendsPerSecond);
/// Delay that collects more intents before a group is appended to an idle
/// stream.
constexpr auto IntentGroupDelay = 2ms;
/// Maximum bytes and records of one group, to keep appends small.
constexpr std::size_t MaxIntentGroupBytes = 512U << 10U;
constexpr std::size_t MaxIntentGroupRecords = 512;
/// Maximum bytes of intents queued for one stream: four groups.
constexpr std::size_t MaxIntentWaitingBytes = 2U << 20U;
/// An intent that is not appended within this time is refused.
constexpr auto IntentWaitLimit = 1s;
/// Retention time of a key. Must stay below the log's retention. At 30
/// non-idempotent requests a second and stream this is 216,000 keys.
constexpr auto IntentRetention = 2h;
/// An intent whose time is further than this behind the stream's is discarded.
/// Longer than any append in flight, far below IntentRetention.
constexpr auto IntentMaxAppendDelay = 60s;
/// After this time a request without an outcome counts as lost with its VM.
/// Above MaxDeadline, the longest run time.
constexpr auto IntentRunLimit = MaxDeadline + 60s;
/// Maximum bytes of one stored answer; a booking's confirmation takes a few
/// hundred.
constexpr std::size_t MaxKeptAnswerBytes = 64U << 10U;
/// Maximum bytes of one stream's stored answers on a writer; the oldest are
/// evicted first.
constexpr std::size_t MaxKeptAnswersBytes = 16U << 20U;
/// Maximum bytes of one stream's keys on a writer; new keys above it are
/// refused.
constexpr std::size_t MaxIntentTableBytes = 96U << 20U;
/// Writers per stream: the second is used when the first does not answer.
constexpr std::size_t IntentWriters = 2;
/// Threads for calls to the log from one entry. Separate from the HTTP threads,
/// which those calls depend on.
constexpr std::size_t LogCallThreads = 4;
/// Timeout of a call to a writer: covers the group delay, append spacing, one
/// append and one read.
constexpr auto IntentCallTimeout = 1500ms;
/// A won intent older than this is not dispatched: after a pause of the process
/// its key may have gone to another request. Far below IntentRetention.
constexpr auto IntentDispatchLimit = 30s;
/// Maximum bytes of outcomes that are not yet in the log, and the interval at
/// which they are retried.
constexpr std::size_t MaxPendingOutcomeBytes = 8U << 20U;
constexpr auto OutcomeRetryInterval = 500ms;
/// Outcomes sent per retry: one group.
constexpr std::size_t OutcomeRetryBatch = MaxIntentGroupRecords;
/// Maximum wait of a planned stop for records that the log or the peers don't
/// have yet.
constexpr auto DrainFlushLimit = 5s;

// --- billed once ------------------------------------------------------------

/// Usage appends a second of the whole fleet. Each VM's interval grows with the
/// number of VMs: with 1,100 VMs it is 11 s, with nine 90 ms.
constexpr std::uint64_t UsageAppendsPerSecond = 100;
/// Delay before a batch is sent to the holders, to collect more records.
constexpr auto UsageBatchDelay = 3ms;
/// Maximum size of one append, and of one batch to a holder.
constexpr std::size_t MaxUsageBatchBytes = 512U << 10U;
/// Maximum size of a VM's own usage that isn't in the log yet. At 50 requests a
/// second of 300 bytes this lasts for an outage of about 50 minutes.
constexpr std::size_t MaxUsageOwnBytes = 48U << 20U;
/// Maximum size of records held for other VMs: twice a VM's own, since each VM
/// has two holders.
constexpr std::size_t MaxUsageHeldBytes = 2 * MaxUsageOwnBytes;
/// Other VMs that must hold a record before the last byte of the answer is
/// sent.
constexpr std::size_t UsageHolders = 2;
/// Timeout of one call to a holder, and how long a holder is skipped after a
/// failure.
constexpr auto UsageHoldTimeout = 500ms;
constexpr auto UsageHolderRetryDelay = 3s;
/// Timeout for a record to be kept; the caller then gets an error.
constexpr auto UsageKeepTimeout = 3s;
/// A VM missing from membership for this long counts as lost, and its first
/// holder appends its records. The second holder waits twice as long, so that
/// usually only one of them appends.
constexpr auto UsageTakeoverDelay = 5s;
/// Held records that weren't released are appended after this time; readers
/// drop duplicates. Several times the append interval of 1,100 VMs (11 s).
constexpr auto MaxUsageHoldTime = 5min;
/// How often the store checks peers and deadlines.
constexpr auto UsageTick = 250ms;

// --- configuration from the log --------------------------------------------

/// How long a VM that follows the log may lag a peer before it fetches the
/// peer's state; a read takes under LogPollWait.
constexpr auto PeerFetchDelay = 1500ms;
/// Interval between queries of peers' offsets; far below the 8 s in which a
/// change must be in force, and 100 bytes each.
constexpr auto PeerCheckInterval = 2s;
/// Interval between queries of peers' offsets while a VM starts; short, so that
/// readiness does not wait for them.
constexpr auto StartPeerInterval = 100ms;
/// How long a VM that starts waits for peers before it continues with the log
/// alone; more than one LinkCallTimeout.
constexpr auto StartPeerTimeout = 3s;
/// Delay between successive VMs in the rendezvous order that may append a
/// snapshot; covers one append and its read.
constexpr auto SnapshotRankDelay = 2s;
/// Delay before the same VM appends a snapshot again.
constexpr auto SnapshotRetryDelay = 30s;
/// Interval between scans of the log for a snapshot.
constexpr auto SnapshotScanInterval = 5s;
/// Timeout of one operator call, in which control may query all its peers.
constexpr auto OperatorCallTimeout = 5s;
/// Number of verdicts that control keeps for `publish` to query: two hours at
/// 25,000 changes a day.
constexpr std::size_t MaxVerdicts = 2000;
/// Tick interval of the state machines in control.
constexpr auto ControlTickInterval = 100ms;

// --- leases, orders to engines, roll-outs -----------------------------------

/// Validity of a lease from the time its record was sent. Three times the
/// renewal interval, so that two lost renewals do not lose it. One lease per
/// data centre, renewed every 10 s by one VM, costs less than two appends per
/// second for 10 data centres.
constexpr auto LeaseDuration = 30s;
constexpr auto LeaseRenewInterval = 10s;
/// Additional delay of each further VM that may claim a free lease.
constexpr auto LeaseRankDelay = 1s;
/// Bound on the drift of two clocks over the duration of a lease, with a
/// margin: 1 s in 30 s is 3%.
constexpr auto ClockDrift = 1s;
/// Maximum number of own lease records that were sent but not yet read.
constexpr std::size_t MaxPendingLeaseRecords = 8;
/// Timeout of an order to an engine; after it, it is unknown whether the order
/// took effect.
constexpr auto OrderTimeout = 10s;
/// Delay before the state of an engine that did not reply is requested again.
constexpr auto EngineRetryDelay = 5s;
/// Rate at which one data centre loads weights from the weight store, which is
/// rate limited.
constexpr double WeightLoadsPerSecond = 0.5;
constexpr double WeightLoadBurst = 2;
/// Minimum duration of a roll-out step, whatever the statistics say: sessions
/// are long, and their answers are rated late.
constexpr auto MinRolloutStepTime = 5min;
/// Delay before a step whose outcome has not been read is proposed again.
constexpr auto RolloutRetryDelay = 10s;

// --- our own processes -----------------------------------------------------

/// Maximum size in bytes of an endpoint's answer at an entry, with the events
/// of a stream. A stream of as many tokens as a request may ask for is smaller.
constexpr std::size_t MaxEndpointBodyBytes = 16U << 20U;
/// Maximum size in bytes of one message between our processes.
constexpr std::size_t MaxLinkMessageBytes = 16U << 20U;
/// Timeout of one call between our processes on one VM or one data centre.
constexpr auto LinkCallTimeout = 2s;
/// Duration of entry's long poll at control for a newer configuration; far
/// below the 8 s in which a change must be in force.
constexpr auto ConfigPollWait = 1s;
/// Delay between attempts when a peer or the log does not answer.
constexpr auto ReconnectDelay = 200ms;

// --- quality ---------------------------------------------------------------

/// Probability that a version's quality is below its lower bound. One in
/// twenty, since the target must hold in nearly all windows of a customer.
constexpr double QualityTailProbability = 0.05;
/// Change of the rating sums, in ratings, at which a cached bound is
/// recomputed.
constexpr double BoundTolerance = 0.25;
/// Ratings after which the weight of an old one has decayed to about a third.
/// Enough to tell 0.95 from 0.97, few enough to detect a change within a
/// morning.
constexpr double RatingDecayCount = 600;
/// Maximum weight, in ratings, of the operators' prior and all other customers'
/// ratings next to a customer's own. With more, a customer with harder
/// documents than others keeps too cheap a version for too long; with less, a
/// new customer pays for the most expensive one until it has ratings of its
/// own.
constexpr double CustomerPriorWeight = 75;
/// Share of requests that may explore a cheaper version that isn't proved good
/// enough. Two in a hundred limits both the cost of exploration and its harm.
constexpr double ExplorationShare = 0.02;
/// Probability that a good roll-out is halted within 1,920 ratings. The
/// requirement is one in a hundred; half is left for errors in the estimate of
/// the old version, which has few ratings at the start and whose mean may be
/// slightly off. A lower value delays the halt of a bad version.
constexpr double RolloutFalsePositiveRate = 0.005;
/// How much worse than the lower bound of the old version a new one may be.
constexpr double NonInferiorityMargin = 0.02;
/// Ratings at a step before the next step; a version that degraded to 0.60 is
/// detected within 60 ratings.
constexpr std::uint64_t MinRolloutStepRatings = 100;
/// Ratings between the starts of two bets of the sequential test; a drop is
/// detected as if the test had started at most this many ratings before it.
constexpr std::size_t SequentialBetInterval = 20;
/// Concurrent bets; limits memory and the time to process a rating.
constexpr std::size_t MaxSequentialBets = 96;
/// Limits of the null mean, so that a single rating can't decide the test.
constexpr double MinNullMean = 0.05;
constexpr double MaxNullMean = 0.95;
/// Share of answers sent to the rating service; answers of exploring requests
/// are always sent.
constexpr double RatingShare = 0.1;
/// Samples queued for the rating service; more are dropped, since ratings are
/// statistical. At 50 requests a second this covers over a minute of outage.
constexpr std::size_t MaxQueuedSamples = 512;
constexpr auto RaterCallTimeout = 5s;
/// Time between two reads of ratings, which arrive tens of seconds late anyway.
constexpr auto RatingPollInterval = 500ms;
/// Minimum ratings in a confidence bin before its answers can be accepted.
constexpr double MinCascadeBinRatings = 20;
/// How far below the target a confidence bin may be if it meets the target
/// together with the higher bins.
constexpr double CascadeBinSlack = 0.05;

// --- membership and gossip -------------------------------------------------

/// Probe interval: each member sends one probe per period. A shorter period
/// detects a dead VM sooner and costs proportionally more messages.
constexpr auto GossipPeriod = 1s;
/// Timeout of a direct probe. Between data centres 1.5 ms is usual; half a
/// second tolerates a pause of the other process.
constexpr auto ProbeTimeout = 500ms;
/// Timeout for acks of indirect probes.
constexpr auto IndirectProbeTimeout = 1500ms;
/// Members that send an indirect probe; three paths seldom fail together.
constexpr std::size_t IndirectProbes = 3;
/// Time in which a suspect may refute. Must be longer than the second that a VM
/// pauses when it is migrated, and shorter than the 8 s in which callers notice
/// a dead peer.
constexpr auto SuspicionTimeout = 5s;
/// Suspects that one member probes directly per period; bounds the burst when a
/// whole rack is suspected at once.
constexpr std::size_t MaxSuspectsProbed = 4;
/// Indirect probes per suspect and period. With a fifth of all messages lost,
/// every path fails throughout 5 s in 3 of 100,000 cases (computed).
constexpr std::size_t SuspectIndirectProbes = 2;
/// Interval between attempts to contact dead members, seeds and listed VMs, one
/// per attempt.
constexpr auto RecontactInterval = 5s;
/// Interval of anti-entropy syncs, which repair differences left by lost
/// messages.
constexpr auto SyncInterval = 10s;
/// Members of each data centre that exchange gossip with other data centres.
/// Two, so that one may fail; more would multiply the traffic between data
/// centres.
constexpr std::size_t RelaysPerDataCentre = 2;
/// Other data centres that a relay probes per period.
constexpr std::size_t RelayFanout = 2;
/// A data centre without contact for this long counts as unreachable. Long
/// enough for both relays to fail and be replaced, which takes about 10 s,
/// without a false alarm.
constexpr auto DataCentreLostAfter = 30s;
/// Minimum interval between a relay's reports that a data centre was reached.
constexpr auto ReachReportInterval = 5s;
/// Minimum interval between two reports of a member's own offset. With 25,000
/// changes per day and 110 members in a data centre, reporting each change at
/// once would be 32 entries per second.
constexpr auto OffsetReportInterval = 4s;
/// Retention time of a dead member: longer than any expected partition, so that
/// a data centre that reconnects can't reintroduce it as alive. For the second
/// half of it the entry is no longer sent.
constexpr auto ForgetDeadAfter = 24h;
/// Maximum age of the entry of a leaving endpoint; by then it has stopped or is
/// no longer configured.
constexpr auto LeavingEndpointTtl = 1h;
/// Maximum age of a load digest; older ones don't reflect the current load.
constexpr auto LoadDigestTtl = 60s;
/// Bytes per second that one member may send. As much is received, which
/// together is the budget of 8 KB per second and VM for control traffic.
constexpr std::size_t GossipBytesPerSecond = 4096;
/// Maximum burst in bytes after a quiet period: a few replies to joining
/// members.
constexpr std::size_t GossipBurstBytes = 32U << 10U;
/// Maximum bytes of entries in one probe or reply, so that it fits into one
/// packet.
constexpr std::size_t GossipEntryBytes = 1200;
/// Maximum bytes of entries in the reply to one sync.
constexpr std::size_t SyncReplyBytes = 16U << 10U;
/// Maximum bytes of randomly chosen, frequently changing entries in the reply
/// to a sync.
constexpr std::size_t SyncSliceBytes = 1024;
/// Buckets of entries whose hashes are compared in a sync. With 1,100 members
/// one difference then costs about 35 entries.
constexpr std::size_t SyncBuckets = 32;
/// Number of times a member sends one entry; with n sends the entry misses e^-n
/// of the members.
constexpr unsigned GossipTransmits = 4;
/// Time after its first peer in which a new control process learns of the
/// others: one period to the next sync and two for propagated entries.
constexpr auto JoinSettleTime = 3s;
/// Time after which a new control process that found no peer counts as alone.
/// Twice RecontactInterval, at which seeds and listed VMs are contacted.
constexpr auto JoinTimeout = 10s;
/// How long a stopping control process waits for its leaving state to
/// propagate.
constexpr auto LeavePropagationTime = 1500ms;
/// Interval between two reads of the platform's list of VMs, which lags anyway.
constexpr auto VmListPollInterval = 10s;
/// Protocol version of the messages between control processes.
constexpr std::uint32_t GossipProtocol = 1;

// --- sessions --------------------------------------------------------------

/// Age at which a session token expires. Covers a working day and a night.
constexpr auto SessionTokenMaxAge = 24h;
/// VMs that store the version of a session whose caller sends only its id. One
/// may be down and another wrong, and the session still gets only one version.
constexpr std::size_t SessionReplicas = 3;
/// Replicas that must agree or have settled a claim before the first byte.
constexpr std::size_t SessionQuorum = 2;
/// Timeout of a call to a replica, also in another region; a request waits for
/// it.
constexpr auto SessionCallTimeout = 300ms;
/// Maximum claims stored on one VM; at about 300 bytes each, 30 MiB.
constexpr std::size_t MaxSessions = 100'000;
/// Maximum claims in one message between VMs.
constexpr std::size_t SessionBatch = 2'000;
/// Interval between checks of the membership for sessions.
constexpr auto SessionTick = 500ms;

// --- load: admission -------------------------------------------------------

/// Maximum number of queued requests of one customer for one pool on one VM. At
/// 50 requests a second and VM this is 10 s of one customer's whole traffic.
constexpr std::size_t MaxQueuedPerCustomer = 512;
/// Maximum number of queued requests for one pool on one VM, over all
/// customers. Ticks and predictions iterate over customers, not requests, so
/// memory sets the limit.
constexpr std::size_t MaxQueuedPerPool = 2048;
/// Quantum of the deficit round robin: estimated tokens that a customer of
/// weight 1 may send per round. About one ordinary request, so that rounds are
/// short.
constexpr double QuantumTokens = 512;
/// Minimum share of a full pool, by priority. Counter work needs none because
/// it goes first, as a person waits for it; overnight work is due in the
/// morning and must progress in every minute.
constexpr double GuaranteedShare[] = {0.0, 0.25, 0.1};
/// Fraction of a request's slack that the predicted wait may take. The
/// prediction errs by about the spread of answer lengths, which is near one
/// half.
constexpr double MaxWaitFraction = 0.25;
/// Assumed until the first answer. The target at peak is 41 ms between tokens,
/// and answers are about half as long as callers allow.
constexpr double InitialSecondsPerToken = 0.02;
/// Minimum Retry-After of a full queue; with less, callers would retry in a
/// busy loop.
constexpr auto MinRetryAfter = 100ms;
/// Maximum Retry-After; longer predictions are meaningless.
constexpr auto MaxRetryAfter = 60s;
/// Interval between admission ticks; expired requests are refused within this
/// time.
constexpr auto AdmissionTick = 20ms;

// --- load: quota -----------------------------------------------------------

/// Interval between exchanges of demand reports among entry VMs. The error of a
/// customer's quota is at most what it may send in this time.
constexpr auto QuotaExchangeInterval = 1s;
/// Time constant of the smoothed demand of a customer at one VM; several
/// exchange intervals, so that a single burst doesn't move the shares.
constexpr auto DemandTimeConstant = 5s;
/// Fraction of an equal share that a VM without demand keeps for its first
/// request.
constexpr double IdleShareFraction = 0.1;
/// Capacity of the token bucket in seconds of quota, so that ordinary bursts
/// pass.
constexpr double QuotaBurstSeconds = 5;

// --- load: retries ---------------------------------------------------------

/// Retries that a customer earns with each answer. With one endpoint in ten
/// failing, everything is still retried; a pool that fails entirely earns none.
constexpr double RetryRatio = 0.1;
/// Maximum and initial retry balance of a customer. Each VM keeps its own, so a
/// failing pool gets up to this many retries from every VM.
constexpr double MaxRetryBalance = 1;
/// Time without a retry request after which the balance is full again. A pool
/// failing under load gets retry requests without such a pause. (A refill by
/// time alone, one in 5 s, gave 1.25 attempts per request when a pool was
/// lost.)
constexpr auto RetryRefillDelay = 5s;

// --- load: placement -------------------------------------------------------

/// Endpoints of one pool and data centre that one VM connects to. Choosing the
/// better of two out of 32 spreads load as well as out of 600, at a twentieth
/// of the connections.
constexpr std::size_t SubsetSize = 32;
/// Subset size for another data centre, which is used only for spilling.
constexpr std::size_t SpillSubsetSize = 8;
/// Number of random endpoints compared for one attempt.
constexpr unsigned ChoiceCount = 3;
/// A session stays at its endpoint while the load is below this multiple of the
/// mean.
constexpr double AffinityLoadFactor = 1.25;
/// Maximum number of sessions and prompt prefixes in the affinity table of a
/// pool; 100 bytes each.
constexpr std::size_t MaxAffinityEntries = 8192;
/// Concurrency limit for one endpoint from one VM: initial value and bounds.
/// The initial value is part of a small batch, since other VMs send too. The
/// minimum is below one, since admission uses the sum over the pool.
constexpr double InitialLimit = 2;
constexpr double MinLimit = 0.25;
constexpr double MaxLimit = 512;
/// Ratio of latency per token to the best one up to which the limit may grow. A
/// batch slows each of its requests somewhat before it is full.
constexpr double LatencyTolerance = 1.1;
/// Fraction by which the limit decreases for an answer slower than that.
constexpr double LimitDecrease = 0.03;
/// Increase for an answer while the limit was in use, divided by the limit, so
/// that the limit grows by this much per limit's worth of answers.
constexpr double LimitIncrease = 0.3;
/// Fraction of the limit from which it counts as in use.
constexpr double LimitInUseFraction = 0.7;
/// Fraction by which the best latency moves towards the current one with each
/// answer, so that one unusually fast answer doesn't set it for good.
constexpr double BestLatencyDrift = 0.0002;
/// An endpoint slower than the pool's median by this factor has its limit
/// reduced whatever the pool's latency is.
constexpr double OutlierTolerance = 1.5;
/// Weight of an answer in the moving average of its pool's latency: a few
/// seconds of one VM's traffic.
constexpr double PoolLatencyWeight = 0.02;
/// Answers needed before the pool's latency is compared.
constexpr unsigned MinPoolSamples = 50;
/// Weight of a new sample in an endpoint's moving average of latency.
constexpr double LatencyWeight = 0.1;
/// An endpoint slower than the pool's median by this factor is ejected. Batches
/// differ by a factor of two, broken hardware by more.
constexpr double SlowEjectionFactor = 4;
/// Answers needed before an endpoint counts as slow.
constexpr unsigned MinSlowSamples = 3;
/// Consecutive failures after which an endpoint is ejected.
constexpr unsigned ConsecutiveFailuresToEject = 3;
/// Maximum fraction of a pool's endpoints that may be ejected. With more
/// failing, the cause is not in the endpoints, and the rest would be
/// overloaded.
constexpr double MaxEjectedFraction = 0.34;
/// Duration of the first ejection, doubled for each further one, and its
/// maximum.
constexpr auto BaseEjectionTime = 5s;
constexpr auto MaxEjectionTime = 300s;
/// Duration of the slow start of a new endpoint, while its caches and batches
/// warm up.
constexpr auto SlowStartTime = 20s;
/// Share of its full load that a new endpoint starts with.
constexpr double SlowStartMinShare = 0.1;
/// Interval between checks for the median latency, stalled endpoints and
/// spilling. A check iterates over the subset, so it isn't done for every
/// attempt.
constexpr auto PlacementCheckInterval = 50ms;
/// Age after which an endpoint's load report is ignored.
constexpr auto LoadReportMaxAge = 5s;
/// Number of own in-flight changes kept to correct delayed load reports.
constexpr std::size_t LoadHistorySize = 64;
/// Utilisation of the local data centre at which spilling starts and ends. The
/// gap is a hysteresis against flapping.
constexpr double SpillStartUtilisation = 0.9;
constexpr double SpillEndUtilisation = 0.6;
/// Minimum time between changes of the spill state: an answer or two, so that
/// the effect of the last change is seen before the next.
constexpr auto MinSpillStateTime = 3s;
/// Factors on the expected time for another data centre of the same region and
/// for another region.
constexpr double SameRegionCostFactor = 1.2;
constexpr double OtherRegionCostFactor = 2;

// --- HTTP of the router ------------------------------------------------------

/// Bytes per socket read; a streamed event has a few hundred.
constexpr std::size_t SocketReadBytes = 4096;
/// Backlog of connections to accept: one second of new connections in a burst.
constexpr int ListenBacklog = 512;
/// Idle connections stay open this much longer than the configured idle
/// timeout, so that a request sent just at the timeout doesn't meet the close.
constexpr auto IdleCloseMargin = 1s;
/// Maximum bytes buffered beyond the current request; callers rarely pipeline.
constexpr std::size_t MaxPipelinedBytes = 64U << 10U;
/// Maximum bytes of a plain answer held back so that another endpoint can still
/// be tried, and of one event; a longer plain answer is forwarded as it comes.
constexpr std::size_t MaxAnswerBufferBytes = 256U << 10U;
/// Unsent bytes of an answer above which no more of it is read, and those at
/// which reading goes on.
constexpr std::size_t AnswerPauseBytes = 64U << 10U;
constexpr std::size_t AnswerResumeBytes = 32U << 10U;
/// Time for the caller to read the last bytes before its connection is closed.
constexpr auto CloseLingerTimeout = 2s;
/// How long a connection that its endpoint has closed is watched for the loss
/// of what was written to it, and how often. The time covers a retransmission
/// and a round trip between data centres.
constexpr auto DeliveryTimeout = 500ms;
constexpr auto DeliveryCheckInterval = 5ms;
/// Maximum bytes of the head of an endpoint's response, and of a chunk header
/// or the trailers.
constexpr std::size_t MaxEndpointHeaderBytes = 32U << 10U;
/// Maximum bytes that are no body, in all heads, chunk headers and trailers of
/// an exchange; and how many more for each byte of the body, which leaves room
/// for chunks of one byte with a signed extension.
constexpr std::size_t MaxEndpointFramingBytes = 2 * MaxEndpointHeaderBytes;
constexpr std::size_t MaxFramingPerBodyByte = 256;
/// Connections within a region are established within a few ms. A lost SYN is
/// retransmitted only after a second, so a new attempt is faster.
constexpr auto EndpointConnectTimeout = 300ms;
/// Adaptive connect timeout, once there are enough samples: mean connect time
/// plus this many mean deviations. That is twice the four of TCP retransmission
/// timers, since a false verdict diverts traffic. Below the minimum, a pause of
/// this process would look like an outage: CPU throttling may stop it for 75
/// ms.
constexpr double ConnectDeviations = 8;
constexpr auto MinConnectTimeout = 100ms;
constexpr unsigned MinConnectSamples = 10;
/// Weights of the newest sample, as in TCP retransmission timers.
constexpr double ConnectMeanWeight = 0.125;
constexpr double ConnectDeviationWeight = 0.25;
/// Endpoints of a data centre that fail without a success in between until the
/// data centre counts as unreachable; a single one may have crashed.
constexpr std::size_t UnreachableCentreThreshold = 2;
/// Between probes of an unreachable endpoint, and probes per round; both limit
/// the cost of a long partition.
constexpr auto UnreachableProbeInterval = 300ms;
constexpr std::size_t MaxProbesPerRound = 8;
/// A stream from an unreachable endpoint resumes elsewhere after this time
/// without an event: events come at least every 100 ms, and callers expect the
/// next one within a second.
constexpr auto UnreachableStreamTimeout = 250ms;
/// TCP keep-alive: probes start after a second of silence and repeat each
/// second. Two lost ones end the connection, so that a stream on a dead
/// endpoint resumes elsewhere well before its caller gives up (8 s at the
/// least).
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
constexpr auto TcpUserTimeout = 3s;

// --- requests of the router --------------------------------------------------

/// With less time left an attempt can't finish: connect, processing and
/// response.
constexpr auto MinAttemptTime = 20ms;
/// Failed connects after which a request is given up.
constexpr unsigned MaxConnectFailures = 4;
/// For a stream whose version currently has no endpoint: interval between
/// retries, and limit since the last event. Endpoint changes are read within a
/// second, and callers wait for at least two.
constexpr auto StreamRetryInterval = 100ms;
constexpr auto StreamRetryLimit = 1900ms;
/// An idempotent call without a response after this multiple of the target
/// latency is retried elsewhere. That is five times the mean service time of
/// plain services.
constexpr int AttemptTimeoutFactor = 2;
/// Minimum timer delay; a timer in the past can't cause a busy loop.
constexpr auto MinTimerDelay = 1ms;
/// Callers honour a Retry-After of up to their remaining time divided by this.
constexpr int RetryAfterDivisor = 3;
/// Retry-After is its base value times a random factor that starts at
/// RetryJitterBase and spans RetryJitterRange.
constexpr double RetryJitterBase = 0.75;
constexpr double RetryJitterRange = 0.5;
/// Urgency sent to engines, 0 to 9, typically 5; it rises by UrgencyPerDoubling
/// each time the work doubles.
constexpr double BaseUrgency = 0;
constexpr double UrgencyPerDoubling = 1;
constexpr unsigned MaxUrgency = 9;

// --- endpoints of the router -------------------------------------------------

/// Weight of the newest sample in moving averages over attempts; the last ten
/// samples dominate.
constexpr double EndpointAverageWeight = 0.1;
/// An endpoint is an outlier if its failure rate exceeds the mean of its pool
/// times the factor, plus the floor.
constexpr double GreyFailureFactor = 1.5;
constexpr double GreyFailureFloor = 0.2;
/// Largest part of a pool that may be avoided at once.
constexpr double MaxAvoidedShare = 0.4;
/// Backoff for an endpoint that rejected a request for lack of capacity.
constexpr auto FullEndpointBackoff = 100ms;
/// Backoff for an unreachable endpoint, times its consecutive failures up to
/// the maximum.
constexpr auto UnreachableEndpointBackoff = 700ms;
constexpr unsigned MaxEndpointBackoffSteps = 4;
/// Work of an attempt beside its prompt, and work of an answer token relative
/// to a prompt token.
constexpr double BaseAttemptWork = 1;
constexpr double AnswerTokenWork = 5;
/// Weight of a likely prefix cache hit, relative to the work it saves: it also
/// saves memory on another engine and later recomputation.
constexpr double CacheHitWeight = 8;
/// Penalty of other data centres for engine calls, in units of work: a fixed
/// part of some short calls, so that idle remote engines don't attract calls,
/// and this fraction of the pool's mean work. With 0.5, a data centre with 1.5
/// times its share of the load starts to offload some of it.
constexpr double OtherCentreFixedWork = 10;
constexpr double OtherCentreLoadFactor = 0.5;
/// Penalty of other data centres for plain calls, in requests in flight.
constexpr double OtherCentreRequests = 0.5;
/// Seconds; shorter waits of plain endpoints count as equal.
constexpr double MinEndpointWait = 0.02;
/// Endpoints whose entries expired while the registry was down register again
/// within about 2 s of its return; later they are removed.
constexpr auto LapsedEntryGrace = 2200ms;
/// How long the removal of an endpoint is remembered. The store may come back
/// from a copy 30 s old, after an outage, and list the endpoint again.
constexpr auto RemovedEntryTtl = 60s;
/// Some 100 bytes each.
constexpr std::size_t MaxRemovedEntries = 4096;
/// How long a data centre stays evacuated whose order the store has lost. The
/// operator writes its orders again within seconds.
constexpr auto LostEvacuationGrace = 10s;

/// VMs that send to a cold endpoint: two, since one may fail or have no
/// requests. More VMs would send more within a second, since each rounds its
/// part up.
constexpr std::size_t SlowStartOwners = 2;
/// Cap on announced cold times, so that a wrong one has no lasting effect.
constexpr auto MaxColdTime = 60s;
/// Cold endpoints per digest; all of a data centre may turn cold at once.
constexpr std::size_t MaxDigestCold = 400;

/// VMs that send to a rate-limited endpoint: this many, plus one for each
/// request per second.
constexpr std::size_t MinLimitOwners = 2;
/// Requests per second. The minimum is what an endpoint with a limit of zero
/// still gets; limits above the maximum no longer bound anything.
constexpr double MinEndpointLimit = 0.25;
constexpr double MaxEndpointLimit = 1e6;
/// How long each digest repeats an announced limit; a digest may take several
/// rounds to reach all VMs.
constexpr auto LimitNoteTtl = 10s;
/// How long a limit is kept without any further answer; far longer than pauses
/// between requests.
constexpr auto LimitTtl = 10min;
/// Rate-limited endpoints per digest.
constexpr std::size_t MaxDigestLimits = 400;

/// How long an endpoint that announced its leave in an answer stays unused. A
/// drain takes seconds; an endpoint that is still there wasn't leaving.
constexpr auto LeaveTtl = 10min;
/// How long other VMs are told of such an answer, and rely on it.
constexpr auto LeaveNoteTtl = 30s;
/// Leaving endpoints per digest.
constexpr std::size_t MaxDigestLeaves = 400;

// --- loads told between routers ----------------------------------------------

/// Far shorter than the seconds that a long prompt takes.
constexpr auto DigestInterval = 200ms;
/// After this time without a digest a VM counts as failed or partitioned: its
/// requests have ended, or it can't reach this VM. In large fleets the timeout
/// is this many rounds, since a digest takes several rounds to reach all VMs.
constexpr auto DigestTtl = 1s;
constexpr int DigestTtlRounds = 3;
/// Between digests to silent peers, and until a silent peer is forgotten. A VM
/// that returns announces itself.
constexpr auto SilentPeerInterval = 2s;
constexpr auto PeerTtl = 30s;
/// Peers per digest; more peers take turns, so that a fleet of hundreds costs a
/// VM no more than one of this size.
constexpr std::size_t MaxDigestPeers = 24;
/// Batches of a message to all peers: a quarter of a link's buffer, and less
/// than the link drains until the next batch.
constexpr std::size_t PeerBatchBytes = 16U << 10U;
constexpr auto PeerBatchInterval = 20ms;
/// Between attempts to read the peer list while the store is unavailable.
constexpr auto PeerListRetryDelay = 2s;
/// Time over which the routers check their registration in a new era: several
/// hundred of them list the topic.
constexpr auto EraCheckSpread = 4s;
/// After this time topics are followed even if no peers are known yet.
constexpr auto PeerListTimeout = 400ms;

// --- runs of sessions, kept at their owners ----------------------------------

/// VMs that store a session's last run: two may fail or be unreachable.
constexpr std::size_t OwnersPerSession = 3;
/// Runs in one datagram, which keeps it below the size at which links fragment;
/// datagrams sent per flush; and runs queued for sending.
constexpr std::size_t MaxRunsPerDatagram = 30;
constexpr std::size_t MaxRunDatagramsPerFlush = 64;
constexpr std::size_t MaxQueuedRuns = 6000;
/// Time until an unacknowledged update is sent again, and how often it is sent
/// in all.
constexpr auto RunRetransmitInterval = 150ms;
constexpr unsigned MaxRunTransmissions = 6;
/// Time until owners that did not answer a query are asked again, and until the
/// lookup ends; the latter is a dozen round trips.
constexpr auto RunQueryRetryDelay = 50ms;
constexpr auto RunQueryTimeout = 150ms;
/// Interval between updates of the reachable VMs, which own the sessions.
constexpr auto RunPeersRefreshInterval = 500ms;
/// A VM that was stalled for so long has missed updates.
constexpr auto RunStallThreshold = 1s;

// --- reads of the store for others -------------------------------------------

/// Number of routers that read the store for the fleet; one may fail or be cut
/// off at any time.
constexpr std::size_t RelayReaders = 2;
/// Interval between queries to a reader. With the reader's own poll, a
/// confirmation is at most 1.2 s old, and a leaving endpoint is known within 1
/// s.
constexpr auto RelayPollInterval = 400ms;
/// Timeout of a query before the store is read instead; about a hundred round
/// trips.
constexpr auto RelayReplyTimeout = 150ms;
/// Maximum age of a relayed confirmation. Older ones are discarded and the
/// store is read, while keys are still valid for as long as callers expect.
constexpr auto MaxRelayedAge = 1500ms;
/// Cache of a topic for queries, the newest record of each key. An endpoint
/// takes 350 B, and a roll-out lists every endpoint of a large service twice.
constexpr std::size_t MaxRelayCacheBytes = 512U << 10U;
/// How often an announcement is repeated, once per tick.
constexpr unsigned RelayAnnouncementRepeats = 2;
/// How long a topic is followed after a query for it.
constexpr auto RelayRequestTtl = 2s;
/// How long listings are requested from readers before the store is listed.
/// When all VMs start at once, the readers must list first.
constexpr auto RelayListingTimeout = 1500ms;
/// Maximum size of a reply's records before compression; they must fit into a
/// datagram even if compression saves nothing.
constexpr std::size_t MaxRelayReplyBytes = 56U << 10U;
/// Maximum size of a message between routers; a datagram can carry it.
constexpr std::size_t MaxPeerMessageBytes = 63U << 10U;
/// Maximum overhead of a record in a reply, excluding its key and value.
constexpr std::size_t RelayRecordOverheadBytes = 16;
/// How long a router that starts waits for its peers to tell their
/// configuration; several round trips to each.
constexpr auto PeerAnswersTimeout = 400ms;
/// How long it waits for the list of its peers once it has a configuration.
constexpr auto PeersKnownTimeout = 1s;
/// Peers that have a configuration and after whose answers it waits for no
/// more.
constexpr std::size_t EnoughInformedPeers = 8;
/// Peers that it asks in one tick.
constexpr std::size_t PeersAskedAtOnce = 24;
/// A router that serves asks a peer for a newer configuration after this time;
/// before, it usually reads it at its next poll.
constexpr auto ConfigurationFetchDelay = 600ms;
/// Between requests for a configuration.
constexpr auto ConfigurationFetchInterval = 200ms;
/// Peers remembered to have the newest configuration.
constexpr std::size_t MaxConfigurationHolders = 16;
/// Maximum size of a configuration from a peer.
constexpr std::size_t MaxConfigurationBytes = 1U << 20U;

// --- cascade -----------------------------------------------------------------

/// Share of the repeat budget available to cascades; the rest is kept for
/// retries after failures.
constexpr double CascadeBudgetShare = 0.75;
/// Linear model of a reported confidence, 0 to 100: its value for a request
/// whose difficulty equals the model's quality, its decrease from the easiest
/// to the hardest request, and the standard deviation of its noise. A prior,
/// since it can't be observed where answers are not rated.
constexpr double ConfidenceAtQuality = 43;
constexpr double ConfidenceSlope = 110;
constexpr double ConfidenceNoise = 18;
/// A probability mass of a normal distribution below this is treated as zero.
constexpr double MinProbabilityMass = 1e-9;
/// Prior quality of the smallest of several models, and the weight of a prior,
/// in answers; the largest model's prior is 1. The smallest gets 0.5, since a
/// model that answers less well is of little use; ten observed answers replace
/// half of the prior.
constexpr double SmallestModelPriorQuality = 0.5;
constexpr double QualityPriorAnswers = 10;
/// Answers after which the weight of an older one has decayed to about a third.
/// Noise then moves a quality estimate by 0.03; a changed model is recognized
/// after a few hundred answers.
constexpr double QualityWindowAnswers = 300;
/// Utility of a poor answer and of a late one to a caller, relative to a good
/// answer in time, as the platform's data sheets state.
constexpr double PoorAnswerUtility = 0.05;
constexpr double LateAnswerUtility = 0.3;
/// Upper bound on the price of the most expensive model's answer, relative to
/// the value of a good answer in time, as nobody would run a model that costs
/// more; and lower bound on that value, in units of the prices. Both are
/// priors, since neither is configured.
constexpr double MaxRelativeModelPrice = 1.0 / 3;
constexpr double MinAnswerValue = 1;
/// Price of a prompt token relative to a generated one, from the platform's
/// price lists.
constexpr double PromptTokenPriceRatio = 0.25;
/// Cost of the slowest model's engine time to other requests, if the wait that
/// it causes them is as long as their latency target.
constexpr double EngineTimePrice = 1.5;
/// Weight of a delay of a less urgent request, relative to one of the payer's
/// priority; and weight of a request in a service's mix relative to the next
/// one, so that about 100 requests count.
constexpr double LessUrgentDelayWeight = 0.2;
constexpr double RequestMixForgettingFactor = 0.99;
/// Steepness of the log-logistic curve that gives the probability of a first
/// event within the target.
constexpr double WaitCurveSteepness = 3;
/// Priors until waits are observed: seconds until the first byte of an attempt
/// with no work ahead of it; seconds for a thousand prompt tokens on the
/// cheapest model; and the standard deviation of the first, in seconds.
constexpr double FirstByteFixedSeconds = 0.12;
constexpr double PriorSecondsPerWork = 0.006;
constexpr double FirstByteFixedDeviation = 0.05;
/// Prior of the seconds for a unit of others' work, a thousand prompt tokens.
/// It is lower than for own work, as most of others' work is answer generation,
/// which runs concurrently.
constexpr double PriorSecondsPerOthersWork = 0.002;
/// Weight of a wait relative to the next one, so that about 200 waits count. A
/// wait's error is clipped to so many standard deviations; the deviation is
/// taken to be the predicted wait.
constexpr double PaceForgettingFactor = 0.995;
constexpr double PaceMaxDeviations = 3;
/// Weight of the prior of a model's relative pace, in observed waits; and the
/// least work of an attempt, own and others', from which pace is learned.
constexpr double PacePriorSamples = 30;
constexpr double MinWorkForPace = 10;
/// The prior of a model's pace relative to the cheapest model's is the ratio of
/// their prices to this power, below 1 because a price also covers more than
/// engine time. The bounds keep a wrong sample from making a model unusable.
constexpr double PacePriceExponent = 0.8;
constexpr double MinModelPace = 0.2;
constexpr double MaxModelPace = 200;
/// Interval between log lines of the learned estimates.
constexpr auto EstimateLogPeriod = 10s;

// --- planned returns of refused callers --------------------------------------

/// Spacing of a key's returns: bounds for any rate. With the second one, nine
/// VMs still plan returns if their service runs one request a minute.
constexpr auto MinReturnSpacing = 1ms;
constexpr auto MaxReturnSpacing = 1h;
/// A return counts as due this long before its time, as peers learn it by a
/// note that takes as long to arrive; and this long after it, as the caller may
/// need a second connection after one second. The first is below MinRetryAfter,
/// so that a retry at once is never due.
constexpr auto EarlyReturnTolerance = 50ms;
constexpr auto LateReturnTolerance = 2s;
/// Callers for whom no return can be planned are spread over at least this
/// time.
constexpr auto MinUnplannedReturnSpread = 1s;
/// Returns that a VM knows, of its whole data centre; some 130 bytes each. At
/// 5,000 requests a second and data centre, half of them returns, this is 8 s.
constexpr std::size_t MaxPlannedReturns = 20'000;
/// Open plans for identical requests, which can't be told from retries of one
/// caller.
constexpr std::size_t MaxReturnsPerRequest = 8;
/// Keys with a calendar; some 50 bytes each.
constexpr std::size_t MaxReturnCalendars = 4096;
/// Notes per datagram, 16 bytes each.
constexpr std::size_t MaxReturnNotes = 200;
/// VMs whose latest batch is known, including ended incarnations.
constexpr std::size_t MaxReturnSenders = 4096;

// --- leases, budgets and stops of the router ---------------------------------

/// Key lease as a fraction of the revocation bound. The lease is checked after
/// the request has arrived, so only clock drift needs a margin. What is left
/// after a long poll must stay above 0.6 of the bound, for which callers expect
/// service during a store outage.
constexpr double KeyLeaseFraction = 0.95;
/// Fraction of the fleet's retry ratio that is used; the rest covers retries
/// that cross window boundaries.
constexpr double RetryRatioFraction = 0.9;
/// Fraction of the fleet's fixed retries that all known VMs share; the rest is
/// for VMs that the others don't know yet.
constexpr double RetryExtraFraction = 0.6;
/// Fleet size assumed for the retry budget until the peers are known. It is
/// larger than a small fleet, so a starting VM doesn't exceed its share.
constexpr std::size_t AssumedVms = 32;
/// Interval of checks of roll-outs, shutdown and lapsed endpoints.
constexpr auto RouterTickInterval = 100ms;
/// Pause after a connection couldn't be accepted.
constexpr auto AcceptRetryDelay = 20ms;
/// Log lines about connections left unread.
constexpr auto UnreadLogPeriod = 1s;
/// Time from the stop signal until idle connections are closed and new requests
/// refused: the load balancer needs two failed probes, a second apart, and its
/// last connections a moment to be used. The rest of the grace period is for
/// streams accepted until then.
constexpr auto StopIdleCloseDelay = 2600ms;
/// Part of the grace period reserved for process exit.
constexpr auto StopExitMargin = 400ms;

// --- roll-outs on the platform -----------------------------------------------

/// Fractions of the exposure bound. In the first half of an order only requests
/// without a session go to the target, in the second half a share of all
/// requests. This leaves more than half of the bound for the final step.
constexpr double RolloutFirstHalfShare = 0.1;
constexpr double RolloutCanaryShare = 2.0 / 3;
/// The share of the requests without a session in the second half, and how much
/// earlier they take the final step if there are no sessions.
constexpr double RolloutSessionlessCanaryShare = 0.25;
constexpr auto RolloutSessionlessLead = 350ms;
/// Fraction of the tolerance in requests that is used, which leaves room for
/// the time skew between VMs, and fraction of the remaining bound that the
/// final step uses.
constexpr double RolloutToleranceFraction = 0.7;
constexpr double RolloutFinalStepFraction = 0.9;
/// The target's endpoints are used in the same shares, so that each is as
/// loaded as after the roll-out, but at least this many, as one may crash.
constexpr std::size_t RolloutMinEndpoints = 2;
/// Plain calls without sessions are packed onto few endpoints of the target:
/// the mean part of an endpoint's slots in use, and how long each is used.
constexpr double RolloutPackedLoad = 0.25;
constexpr auto RolloutPackedTime = 2s;
/// A VM that hasn't read the other VMs' reports for this long doesn't raise its
/// share.
constexpr auto RolloutReportMaxAge = 2500ms;
/// Number of a stream's first events over which their mean interval is
/// measured.
constexpr unsigned RolloutMeasuredEvents = 4;
/// Time from a late final step until the order may be completed: answers of one
/// second, and the delay of the reports on them.
constexpr auto RolloutLateStepWait = 2500ms;
/// Time before the deadline at which an order is completed, as the operator
/// only polls the status.
constexpr auto RolloutDeadlineMargin = 600ms;
/// A version is suspicious if it has at least this many failures whose
/// probability at the old version's rate is below the chance, or if the times
/// of at least this many answers are longer by this many standard deviations.
/// Suspicion delays completion for at most the hold time.
constexpr double RolloutSuspicionChance = 0.02;
constexpr unsigned RolloutSuspicionMinFailures = 2;
constexpr double RolloutSuspicionMinAnswers = 6;
constexpr double RolloutSuspicionSigmas = 1.6;
constexpr auto RolloutSuspicionHold = 3s;
/// Time between reports, with the first value while fast reports are needed,
/// and between attempts to write a status. A failure seen while fast reports
/// are needed is reported with the next tick.
constexpr auto RolloutFastReportPeriod = 500ms;
constexpr auto RolloutReportPeriod = 1200ms;
constexpr auto RolloutStatusRetryDelay = 700ms;
/// All VMs come to the same status. The readers, which receive all reports
/// first, write it; if it isn't in the store after this time, any VM writes it.
constexpr auto RolloutStatusTakeoverDelay = 1500ms;
/// Maximum age of a status that was read before its order. The two reads are at
/// most two polling intervals of the statuses apart.
constexpr auto RolloutEarlyStatusMaxAge = 3s;
/// How long fast reports are needed after the final step, while most of the
/// traffic is new to the target.
constexpr auto RolloutFastReportTime = 4s;
/// Probability of a false alarm per evaluation, of which a roll-out has some
/// thousand, and the fewest failures or slow answers for a verdict.
constexpr double RolloutFalseAlarmChance = 1e-5;
constexpr unsigned RolloutMinHits = 4;
/// A rate of failures or slow answers counts as worse if it is above the old
/// version's rate times the factor and above that rate plus the margin.
constexpr double RolloutRateFactor = 1.5;
constexpr double RolloutRateMargin = 0.05;
/// Answers assumed before any was seen, so that a few answers without failure
/// don't give a rate of zero.
constexpr double RolloutPriorFailures = 0.5;
constexpr double RolloutPriorCount = 10;
/// Probability that a good version is ever rolled back, or is ever held back
/// for more answers, by the evidence of one kind of fault; see
/// version_evidence.
constexpr double RolloutFalseRollbackChance = 4e-3;
constexpr double RolloutFalseHoldChance = 0.3;
/// Standard deviations above the old version's measured rate of bad answers
/// that the new version may show.
constexpr double RolloutOldRateSigmas = 1.0;
/// A rate of bad answers of the old version below this counts as this: a few
/// hundred answers can't tell it from none.
constexpr double RolloutMinBadRate = 0.02;
/// For all kinds together: doublings of time that a good version may show while
/// its endpoints' caches are cold, the standard deviations required beyond
/// them, and the fewest answers.
constexpr double RolloutSlowdownDoublings = 0.7;
constexpr double RolloutSlowdownSigmas = 3.3;
constexpr double RolloutMinAnswers = 12;
/// Lower limit of the variance of bucket numbers, as buckets are coarse.
constexpr double RolloutMinVariance = 0.5;
/// Fewest answers of the old version of a kind before the new version's times
/// are compared with them.
constexpr unsigned RolloutMinBaseline = 15;
/// VMs reach the half and the final step of an order at most this far apart.
constexpr auto RolloutSkew = 1s;
/// Answers of the old version that a log line may call late.
constexpr double RolloutLateShare = 0.02;
/// Added to the sessions' time to live for the network delay between VM and
/// caller.
constexpr auto SessionTtlMargin = 1s;
/// Sessions whose version is remembered; 100 B each.
constexpr std::size_t MaxTrackedSessions = 20'000;

// --- the platform's store ----------------------------------------------------

/// Long-poll wait for configurations. A poll confirms the state at the time it
/// was sent, and only once it is answered. A VM that is cut off therefore loses
/// up to two waits of its key lease, and one poll interval if it queries a
/// reader: 1.2 s of 5 s. That leaves the 0.6 that callers expect.
constexpr auto OrderPollTimeout = 400ms;
/// Interval between reads of the endpoint list. A leaving endpoint keeps
/// serving for 2 s, which must cover one failed read with its retry and the
/// poll interval of routers that query readers.
constexpr auto EndpointPollInterval = 600ms;
/// Intervals between reads of reports and statuses during a roll-out; the first
/// one applies while it is urgent.
constexpr auto RolloutFastPollInterval = 400ms;
constexpr auto RolloutPollInterval = 1200ms;
constexpr auto StatusPollInterval = 1s;
/// Timeout of a call without a long poll; several times the store's latency
/// under load.
constexpr auto StoreCallTimeout = 1500ms;
/// Timeout after a failed call: the store may recover before a silent call
/// would time out.
constexpr auto StoreProbeTimeout = 600ms;
constexpr auto StoreConnectTimeout = 500ms;
/// Bytes of one answer, several times those of a full page.
constexpr std::size_t MaxStoreAnswerBytes = 8U << 20U;
/// Longest delay after answers that can't be read; the first is that of probes.
constexpr auto MaxUnreadableDelay = 10s;
/// Between listings of a topic in which something couldn't be read.
constexpr auto ListAnewInterval = 30s;
/// Pages of one listing; several times those of the largest fleet.
constexpr std::size_t MaxListingPages = 256;
/// Records that can't be read and are logged; later ones are only counted.
constexpr std::size_t MaxLoggedDroppedRecords = 1000;
constexpr std::size_t MaxDropDetailBytes = 200;
/// Between probes of an unavailable store. Routers that also have a reader to
/// query double it with each further failure, up to the maximum.
constexpr auto StoreRetryDelay = 250ms;
constexpr auto MaxStoreRetryDelay = 1s;
/// Probes of all routers other than readers. Larger fleets probe at longer
/// intervals to stay within it, up to the maximum: a router that reaches the
/// store but no reader refuses requests until its next probe.
constexpr double StoreProbesPerSecond = 50;
constexpr auto MaxStoreProbeInterval = 10s;
/// Fraction by which an interval between probes is lengthened at random.
constexpr double StoreProbeJitter = 0.5;
/// A probe whose result isn't known after this time is lost; the longest call
/// takes as long.
constexpr auto StoreProbeLifetime = StoreConnectTimeout + StoreCallTimeout;
/// Failed calls in succession that are logged as an outage.
constexpr unsigned StoreOutageFailures = 3;
/// Interval between checks of the settings file, which may change without a
/// signal.
constexpr auto SettingsPollInterval = 1s;

// --- requests that crash endpoints -------------------------------------------

/// Crashes after which a request is quarantined, and after which its note is
/// written to the store: of three crashes split over two partitions, one
/// partition has seen at least two.
constexpr std::size_t QuarantineCrashThreshold = 3;
constexpr std::size_t StoreCrashThreshold = 2;
/// Crashes kept per request.
constexpr std::size_t MaxCrashesPerRequest = 16;
/// How long a request stays quarantined, and a suspect is kept, after its
/// latest crash. A caller that repeats a crashing request daily crashes one
/// endpoint a day.
constexpr auto QuarantineTtl = 24h;
constexpr auto SuspectTtl = 1h;
/// Some 100 bytes each. A crashed engine leaves up to a hundred suspects.
constexpr std::size_t MaxSuspects = 4096;
/// Latest completed requests and when they did; some 100 bytes each. A crash
/// before its request completed doesn't count.
constexpr std::size_t MaxServedRequests = 1024;
/// Longer than notes take to arrive, so that all crashes of a request are known
/// before other requests are cleared of them.
constexpr auto CrashAttributionDelay = 1s;
/// All connections to a crashed endpoint have broken within this time.
constexpr auto CrashVerdictTtl = 1s;
/// Sends of each note and the time between them: a bad link may drop one in ten
/// datagrams.
constexpr unsigned CrashNoteRepeats = 3;
constexpr auto CrashNoteInterval = 200ms;
/// Between rebroadcasts of quarantined requests by the readers of the store,
/// for VMs that were paused or partitioned.
constexpr auto QuarantineResendInterval = 1s;
/// Notes per datagram, which stays below 32 KiB with all their crashes.
constexpr std::size_t MaxCrashNotes = 80;
/// Until a write to the store is retried, and until a second router writes what
/// the first should have written.
constexpr auto QuarantineSaveRetryDelay = 2s;
constexpr auto QuarantineBackupSaveDelay = 1s;
/// Long poll of the quarantine records in the store; routers usually learn of
/// them by datagram first.
constexpr auto QuarantinePollTimeout = 4s;

// --- prompt parts that crash endpoints ---------------------------------------

/// Crashes, apart from each other by at least the spacing, after which a part
/// is quarantined. Endpoints that crash closer together count once.
constexpr std::size_t PartCrashThreshold = 4;
constexpr auto PartCrashSpacing = 200ms;
/// Crashes kept per part, and as many that it was cleared of.
constexpr std::size_t MaxCrashesPerPart = 32;
/// How long a part stays quarantined after its latest crash, and a suspect is
/// kept after its latest change.
constexpr auto PartQuarantineTtl = 1h;
/// Some 1 KiB each with all their crashes, and notes of them in one datagram.
constexpr std::size_t MaxSuspectParts = 4096;
constexpr std::size_t MaxPartNotes = 60;

// --- shares of a service that is short of capacity ---------------------------

/// Averaging time of the rates of requests, runs and rejections.
constexpr auto ShareRateTime = 2s;
/// The least part of that time that a rate is taken from.
constexpr double MinRateSeen = 0.4;
/// Between updates of capacity and shares.
constexpr auto ShareRefreshInterval = 100ms;
/// A service becomes short if endpoints reject more than this part of the
/// attempts, and at least this many per second.
constexpr double ShortageRejectedPart = 0.1;
constexpr double ShortageMinRejections = 2;
/// A shortage ends once the capacity exceeds the demand by this factor.
constexpr double ShortageEndFactor = 1.01;
/// Rejected part of the attempts at which the capacity is what ran; retries
/// elsewhere make up for so many.
constexpr double CapacityRejectedPart = 0.05;
/// Change of the headroom, which is the capacity as a multiple of what ran,
/// with the rejected part, and its minimum.
constexpr double HeadroomGain = 0.6;
constexpr double MinHeadroom = 0.985;
/// Rejected part of the attempts below which endpoints surely have room.
constexpr double CapacityFreePart = 0.02;
/// Part of what ran lately below which endpoints are coming back.
constexpr double LowCapacityPart = 0.8;
constexpr auto CapacityMemoryTime = 30s;
/// Growth of the headroom per second, and its bound; 0: none.
struct headroom_growth {
  double PerSecond = 0;
  double Bound = 0;
};
constexpr headroom_growth FreeHeadroomGrowth{0.1, 1.06};
constexpr headroom_growth LowHeadroomGrowth{0.5, 1.5};
/// Part of a service's slots in use from which requests are held back; below
/// it, rejections come from uneven load.
constexpr double FullServicePart = 0.9;
/// Requests per second; enough to notice that endpoints run requests again.
constexpr double MinSharedCapacity = 5;
/// Part of the capacity that each priority gets if it needs it.
constexpr double GuaranteedPriorityPart = 0.05;
/// Requests that a key may be ahead of or behind its share in one VM.
constexpr double MaxShareCredit = 2;
constexpr double MinShareCredit = -8;
/// Rates per second below which digests don't carry them, and below which they
/// are forgotten.
constexpr double MinShareNoteRate = 0.02;
constexpr double MinShareRate = 0.001;
/// Rows in a digest, some 12 bytes each.
constexpr std::size_t MaxDemandNotes = 24;
constexpr std::size_t MaxOutcomeNotes = 8;
/// A request may wait in this VM for the target latency divided by this; the
/// caller doesn't notice so short a wait.
constexpr int UnnoticedWaitDivisor = 8;
/// Requests that wait in one VM for their share.
constexpr std::size_t MaxShareWaits = 64;
/// Part of a key's rate that planned returns may use, and their least rate per
/// second.
constexpr double ReturnRatePart = 0.5;
constexpr double MinReturnRate = 0.1;

// --- log lines ---------------------------------------------------------------

/// Capacity of the queue of unwritten log lines; about 1,500 lines.
constexpr std::size_t LogQueueBytes = 256U << 10U;
/// Log lines are written in batches, at this many bytes or after this delay.
constexpr std::size_t LogBatchBytes = 16U << 10U;
constexpr auto LogBatchDelay = 200ms;
/// How long before a request the changes on a VM are searched for those that
/// explain its outcome: twice the longest key lease.
constexpr auto ExplainLookback = 10s;
/// Timeout of one wait for the log's reader, and of all such waits at exit.
constexpr auto LogPollTimeout = 50ms;
constexpr auto LogFlushTimeout = 200ms;

} // namespace clementinelane::config
