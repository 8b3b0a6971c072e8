package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/** State of an open request at its entry. */
internal class ActiveStream(val spec: StreamSpec, firstChain: Chain, now: Moment) {
    var generation = Generation(0)
    var chain = firstChain

    /** Token ids delivered to the caller. */
    val delivered = mutableListOf<Int>()

    /** Stages that recoveries must not use. */
    val excluded = mutableSetOf<InstanceId>()

    /** The stages in [excluded] that only failed to answer; they may be used again if nothing else is left. */
    val excludedAsSilent = mutableSetOf<InstanceId>()

    /** Number of recoveries so far. */
    var recoveries = 0

    /** False once a generation has ended in which a stage may have run something. */
    var notRun = true

    /** Time of the last token or, before the first token of a generation, of its start. */
    var lastProgressAt = now

    /** True until the first token of the current generation arrives. */
    var awaitsFirstToken = true

    /** Probes whose answers are outstanding or not evaluated yet, or null. */
    var probe: ActiveProbe? = null

    /** Multiplier of the stall timeout. Doubles each time the entry decides to wait, and is 1 again after a token. */
    var timeoutFactor = 1

    /** True if the unchanged chain was resumed since the last token; a second resume would not help. */
    var resumed = false

    /** False if the state of the stages does not match the delivered tokens, so that only a new chain can continue. */
    var stageStateUsable = true

    /** The next token, if it arrived from the previous generation after the current one was started. */
    var lateToken: SampledToken? = null

    /** Plan that started the current generation, or null for the first generation. */
    var plan: RecoveryPlan? = null

    /** Mean time between two tokens; zero before the second token. */
    val interToken = MovingMean(Duration.ZERO)

    /** Number of positions that a new chain has to run before the next token. */
    val positions: Int get() = spec.prompt.size + delivered.size

    /** True if the stage at [address] is part of the current chain. */
    fun usesStageAt(address: PeerAddress): Boolean = chain.stages.any { it.address == address }
}

/** Probes sent at [sentAt] to every stage of a stalled stream, and the results so far. */
internal class ActiveProbe(val sentAt: Moment) {
    val answers = HashMap<InstanceId, StageProgress>()
    val unreachable = mutableSetOf<InstanceId>()
}
