#pragma once

#include "version_tally.h"

namespace clementinelane {

/// What the answers of a new version, all kinds together, say against it.
///
/// Load: a service with a dozen requests a second, whose new version gets some
/// twenty of them before most of the traffic moves. Harm prevented: a version
/// that fails or is late for a part of its answers is completed, because each
/// kind alone, at each limit of its times, has too few answers. Every answer
/// of each kind is instead a bet against the old version's rate of such
/// answers. The bets of all kinds multiply, so ten kinds with two bad answers
/// each weigh as much as one kind with twenty.
///
/// A good version's wealth is a supermartingale as long as its rate of bad
/// answers isn't above the old version's, so it ever exceeds 1/p with a
/// probability of at most p, however often it is checked (Ville 1939).
struct version_evidence {
  double LogWealth = 0; ///< natural logarithm
  unsigned Hits = 0;    ///< failed or late answers of the new version
};

/// The evidence of failures.
version_evidence failureEvidence(const version_tally &Tally);
/// The evidence of late first bytes of plain calls. Streams are left out: their
/// first byte depends on what their engine has cached, and an engine that has
/// just started has cached nothing.
version_evidence latenessEvidence(const version_tally &Tally);

/// The evidence of plain calls whose answers take too long, open ones included.
/// At each bucket limit the answers that have come so far are compared with the
/// part that would have come of the old version's: a discrete-time survival
/// test, for which an open attempt counts until its age.
version_evidence delayEvidence(const version_tally &Tally);

/// Whether the evidence suffices to roll back, or to wait for more answers.
bool isConclusive(const version_evidence &Evidence);
bool isSuspicious(const version_evidence &Evidence);

} // namespace clementinelane
