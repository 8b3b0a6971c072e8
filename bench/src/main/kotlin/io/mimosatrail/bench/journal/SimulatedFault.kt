package io.mimosatrail.bench.journal

/** What may go wrong in a simulated schedule. */
enum class SimulatedFault {
    /** Owners stop for up to 15 s and go on unaware. */
    PAUSE,

    /** Owners end without notice and are replaced. */
    CRASH,

    /** Owners leave as planned and are replaced. */
    LEAVE,

    /** The store is down for up to 20 s. */
    OUTAGE,

    /** Answers of the store are lost, before or after the write takes effect, or it takes effect later. */
    LOST_ANSWERS,

    /** Messages of callers are dropped, or delayed by seconds and so reordered. */
    NETWORK,

    /** The upstream refuses, answers late, twice or never. */
    UPSTREAM,
}

/** A mechanism that a schedule runs without, to show that its checks can fail. */
enum class SimulatedDefect {
    NONE,

    /** Seals are confirmed but not stored. */
    NO_SEAL,

    /** Records of claims are confirmed but not stored, as if calls were sent before their claims. */
    NO_CLAIM,
}
