#pragma once

#include "clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace clementinelane {

/// What was observed of an attempt at an endpoint of a service with an active
/// order.
enum class sample_type : std::uint8_t {
  Sent, ///< a request was sent to an endpoint
  Answered,
  Failed,
  FirstByte,     ///< Time: from sending to the first byte
  FirstEvent,    ///< of a stream
  EventInterval, ///< Time: mean interval of a stream's first events
  AnswerTime,    ///< Time: from sending to the end, or to the cancellation
  Ended          ///< whatever its outcome; the last sample of an attempt
};

struct attempt_sample {
  std::string Kind; ///< route and model; answers of one kind are comparable
  bool IsNew = false;
  sample_type Type = sample_type::Answered;
  duration Time{};
  /// From version_shift::newAttempt(); 0: the attempt isn't tracked.
  std::uint64_t Attempt = 0;
};

/// Counts for one kind of answers from one version. Times are kept in
/// histograms whose bucket limits double, which is precise enough to find a
/// version that is several times slower.
struct side_tally {
  static constexpr std::size_t Buckets = 20;
  using histogram = std::array<std::uint32_t, Buckets>;

  std::uint32_t Sent = 0;
  std::uint32_t Count = 0; ///< number of answers
  std::uint32_t Failures = 0;
  histogram FirstByteTimes{};
  histogram EventIntervals{};
  histogram AnswerTimes{};
  histogram OpenAges{}; ///< of unanswered attempts; see withOpen()

  void add(const attempt_sample &Sample);
  void merge(const side_tally &Other);
  void subtract(const side_tally &Other);
};

/// All histograms of a side.
constexpr std::array<side_tally::histogram side_tally::*, 4> SideHistograms{
    &side_tally::FirstByteTimes, &side_tally::EventIntervals,
    &side_tally::AnswerTimes, &side_tally::OpenAges};

/// Counts for both versions of a service, by kind.
struct version_tally {
  struct pair {
    side_tally Old;
    side_tally New;
  };
  std::map<std::string, pair, std::less<>> Kinds;

  void add(const attempt_sample &Sample);
  /// Adds an unanswered attempt.
  void addOpen(const std::string &Kind, bool IsNew, duration Age);
  void merge(const version_tally &Other);
  /// Subtracts counts that were merged before.
  void subtract(const version_tally &Other);
  /// A copy in which the new version has only the counts added since `Before`.
  version_tally newSince(const version_tally &Before) const;
  /// A copy that also has the times of open attempts, of which `Ages` has lower
  /// bounds. Of first bytes and intervals only those above the old version's
  /// median count: the fast answers among the requests sent at the same time
  /// have already come, and lower ages would hide the slow ones.
  version_tally withOpen(const version_tally &Ages) const;
  /// The part of the new version's requests that haven't been answered; see
  /// withOpen().
  double openPartOfNew() const;
  /// The number of answers of both versions.
  std::uint64_t answers() const;
  /// The number of requests sent to both versions, and to the new one.
  std::uint64_t sent() const;
  std::uint64_t sentToNew() const;
};

/// Mean time to the first byte of both versions' plain calls; buckets count
/// with their middle. None without answers, or if a kind has streams.
std::optional<duration> meanPlainTime(const version_tally &Tally);

/// The counts of all kinds for a log line. Late and slow answers are those in a
/// bucket above nearly all of the old version's of their kind, by their first
/// byte or their end.
std::string summaryOf(const version_tally &Tally);

/// The probability of at least `Hits` hits among `Count` trials with a hit
/// probability of `Chance` each.
double binomialTail(std::uint32_t Count, std::uint32_t Hits, double Chance);

/// The reason to reject the new version. Empty if there is none.
///
/// A version is rejected if a kind, or all kinds together, has more failures
/// than chance explains at the old version's rate plus a margin, or more slow
/// answers than an old version that took twice as long. The probability of a
/// false alarm per evaluation is about config::RolloutFalseAlarmChance.
std::string verdictOn(const version_tally &Tally);

/// Whether the new version has more failures or slower answers than chance
/// easily explains. This is far weaker than a verdict: a reason to wait for
/// more answers, not to stop the version.
bool isSuspicious(const version_tally &Tally);

} // namespace clementinelane
