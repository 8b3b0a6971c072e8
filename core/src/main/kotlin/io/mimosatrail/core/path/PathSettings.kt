package io.mimosatrail.core.path

/**
 * Weights of the path search.
 *
 * A token waits for the pass under way before its own, hence [passesPerToken]. [hopMillis] and [crossingMillis] are
 * paid for each token and hop, within a place and between places. The pipe between places carries less than one
 * crossing a token at the usual load, so a transfer over it counts [crossingWeight] times. A path that lies in another
 * place altogether costs [remoteMillis] a token: it takes room from the streams of that place. An engine takes no
 * stream that brings the expected use of its KV cache over [fullShare]; more than 1, since streams end before they have
 * filled what they may. [crowdingWeight] makes a nearly full engine less attractive.
 */
data class PathSettings(
    val passesPerToken: Double = 1.5,
    val hopMillis: Double = 0.2,
    val crossingMillis: Double = 40.0,
    val crossingWeight: Double = 8.0,
    val remoteMillis: Double = 10.0,
    val fullShare: Double = 1.1,
    val crowdingWeight: Double = 2.0,
)
