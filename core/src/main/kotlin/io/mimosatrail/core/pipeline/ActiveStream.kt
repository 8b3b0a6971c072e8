package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/** One request at its entry. */
internal class ActiveStream(val spec: StreamSpec, firstChain: Chain, now: Moment) {
    var generation = Generation(0)
    var chain = firstChain
    val delivered = mutableListOf<Int>()
    val excluded = mutableSetOf<InstanceId>()

    /** Those of [excluded] that only were silent. */
    val suspected = mutableSetOf<InstanceId>()
    var recoveries = 0

    /** False once a generation ended that may have run anything. */
    var unrun = true

    /** Time of the last token, or of the start of the generation. */
    var progressAt = now
    var awaitsFirst = true
    var probe: ActiveProbe? = null

    /** Factor on the time without progress; grows while a slow stage has no better replacement. */
    var patience = 1

    /** True where the chain was resumed unchanged since the last token. */
    var resumed = false
    var replaceable = true

    /** The next token, where it was on its way when the current generation was started. */
    var late: SampledToken? = null

    /** How the current generation was started; null for the first. */
    var plan: RecoveryPlan? = null
    val interToken = MovingMean(Duration.ZERO)

    /** Positions that a new chain has to run for the next token. */
    val positions: Int get() = spec.prompt.size + delivered.size

    /** True where the stage at [address] is part of the chain. */
    fun passes(address: PeerAddress): Boolean = chain.stages.any { it.address == address }
}

/** Probes sent to the stages of a silent stream. */
internal class ActiveProbe(val at: Moment) {
    val answers = HashMap<InstanceId, StageProgress>()
    val unreachable = mutableSetOf<InstanceId>()
}
