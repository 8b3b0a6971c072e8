package io.mimosatrail.core.path

/** Weights of the path search. Times are in milliseconds. */
data class PathSettings(
    /** Passes from one token to the next: a token waits for the rest of the current pass before its own. */
    val passesPerToken: Double = 1.5,

    /** Time per output token for each hop to another engine. */
    val hopMillisPerToken: Double = 0.2,

    /** Additional time per output token for a hop between places. */
    val crossingMillisPerToken: Double = 40.0,

    /**
     * Factor on the transfer time over a link between places. At normal load such a link cannot carry one crossing per
     * token, so its capacity is scarce.
     */
    val transferWeight: Double = 8.0,

    /**
     * Penalty per output token for a path that begins outside the stream's place. Such a path takes capacity from the
     * streams of the other place.
     */
    val remoteMillisPerToken: Double = 10.0,

    /**
     * An engine is not used if the stream would raise the expected use of its KV cache above this share. Above 1, since
     * most streams end before they reach their token limit.
     */
    val maxUtilization: Double = 1.1,

    /** Weight of the squared use of an engine's KV cache, which makes nearly full engines more expensive. */
    val utilizationPenalty: Double = 2.0,
)
