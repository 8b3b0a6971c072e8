package io.mimosatrail.bench.journal

/** A kind of fault in a simulated schedule. */
enum class SimulatedFault {
    /** Owners pause for up to 15 s and continue without noticing it. */
    PAUSE,

    /** Owners crash and are replaced. */
    CRASH,

    /** Owners shut down gracefully and are replaced. */
    LEAVE,

    /** The store is down for up to 20 s. */
    OUTAGE,

    /** Replies of the store are lost. The write takes effect before or after the caller's timeout, or never. */
    LOST_ANSWERS,

    /** Calls and their answers are dropped, or delayed by seconds and thereby reordered. */
    NETWORK,

    /** The upstream refuses calls, or answers late, twice or never. */
    UPSTREAM,
}

/** A mechanism disabled in a schedule, to prove that the checks detect its absence. */
enum class SimulatedDefect {
    NONE,

    /** Writes of seals are confirmed but not stored. */
    NO_SEAL,

    /** Writes of claims are confirmed but not stored, as if calls were sent before their claims were written. */
    NO_CLAIM,
}
