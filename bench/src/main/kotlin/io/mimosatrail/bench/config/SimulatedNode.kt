package io.mimosatrail.bench.config

import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.spread.ConfigSpread
import io.mimosatrail.core.spread.SpreadEffect
import io.mimosatrail.core.spread.SpreadMember
import io.mimosatrail.core.spread.SpreadSettings
import io.mimosatrail.core.spread.WatchEnd
import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

internal val TICK = 200.milliseconds

/** A process that runs [ConfigSpread] and carries out its effects in virtual time. */
internal class SimulatedNode(
    val member: SpreadMember,
    private val fleet: SpreadSimulation,
    private val settings: SpreadSettings,
    random: Random,
) {
    private val spread = ConfigSpread(member, random, settings)
    private val deferredActions = mutableListOf<() -> Unit>()
    private var lastWatchedRevision = ConfigRevision(0)
    val id: InstanceId get() = member.id
    val revision: ConfigRevision get() = spread.revision
    val isRelay: Boolean get() = spread.isRelay
    var isAlive = true
        private set
    var isPaused = false
        private set

    /** True if it reaches neither the store nor any other process. */
    var isIsolated = false

    fun isReady(now: Moment) = spread.isReady(now)

    fun isCutOff(now: Moment) = spread.isCutOff(now)

    fun crash() {
        isAlive = false
    }

    fun pause() {
        isPaused = true
    }

    fun resume() {
        isPaused = false
        deferredActions.toList().also { deferredActions.clear() }.forEach { run(it) }
    }

    /** Runs [action] in this process: now, or after its pause. Drops it if the process has crashed. */
    fun run(action: () -> Unit) {
        when {
            !isAlive -> Unit
            isPaused -> deferredActions += action
            else -> action()
        }
    }

    fun tick() = perform(spread.onTick(fleet.now, fleet.members))

    /** Handles a message of [from], whose revision is [revision]. */
    fun onPeerRevision(from: SimulatedNode, revision: ConfigRevision) =
        perform(spread.onPeerRevision(fleet.now, from.id, revision))

    /** Handles the reply to a fetch, which holds the configuration of revision [content]. */
    fun onFetched(from: SimulatedNode, content: ConfigRevision) {
        onPeerRevision(from, content)
        advance(content, from.id)
        perform(spread.onFetched(fleet.now, from.id))
    }

    fun onFetchFailed(from: InstanceId) = perform(spread.onFetchFailed(from))

    private fun advance(content: ConfigRevision, source: InstanceId?) {
        val isAccepted =
            content > spread.revision || (fleet.defect == SpreadDefect.ACCEPTS_OLDER && content < spread.revision)
        if (isAccepted) perform(spread.onAdvanced(content, source))
        fleet.checkNotReverted(this)
    }

    private fun perform(effects: List<SpreadEffect>) = effects.forEach { perform(it) }

    private fun perform(effect: SpreadEffect) {
        when (effect) {
            is SpreadEffect.ReadStore -> fleet.store.read(this) { answer -> run { onRead(answer) } }
            is SpreadEffect.WatchStore ->
                fleet.store.watch(this, lastWatchedRevision, settings.watchWait) { answer ->
                    run { onWatchEnded(answer) }
                }
            is SpreadEffect.Fetch -> fleet.fetch(this, effect.from)
            is SpreadEffect.Notify -> effect.to.forEach { fleet.notify(this, it) }
        }
    }

    private fun onRead(answer: ConfigRevision?) {
        if (answer != null) advance(answer, null)
        perform(spread.onStoreRead(fleet.now, answer != null))
    }

    private fun onWatchEnded(answer: ConfigRevision?) {
        val end = when {
            answer == null -> WatchEnd.FAILED
            answer > lastWatchedRevision -> WatchEnd.CHANGED
            else -> WatchEnd.UNCHANGED
        }
        lastWatchedRevision = maxOf(lastWatchedRevision, answer ?: lastWatchedRevision)
        perform(spread.onWatchEnded(fleet.now, end))
    }
}
