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

/** One process: the decisions of [ConfigSpread] with the effects carried out in virtual time. */
internal class SimulatedNode(
    val member: SpreadMember,
    private val fleet: SpreadSimulation,
    private val settings: SpreadSettings,
    random: Random,
) {
    private val spread = ConfigSpread(member, random, settings)
    private val delayed = mutableListOf<() -> Unit>()
    private var watched = ConfigRevision(0)
    val id: InstanceId get() = member.id
    val revision: ConfigRevision get() = spread.revision
    val isRelay: Boolean get() = spread.isRelay
    var alive = true
        private set
    var paused = false
        private set

    /** Cut from everything else. */
    var isolated = false

    fun isReady(now: Moment) = spread.isReady(now)

    fun isCutOff(now: Moment) = spread.isCutOff(now)

    fun crash() {
        alive = false
    }

    fun pause() {
        paused = true
    }

    fun resume() {
        paused = false
        delayed.toList().also { delayed.clear() }.forEach { run(it) }
    }

    /** Runs [action] in this process: at once, after its pause, or never where it is dead. */
    fun run(action: () -> Unit) {
        when {
            !alive -> Unit
            paused -> delayed += action
            else -> action()
        }
    }

    fun tick() = perform(spread.onTick(fleet.now, fleet.members))

    /** A message of [from] with its revision arrives. */
    fun onSeen(from: SimulatedNode, seen: ConfigRevision) = perform(spread.onPeerRevision(fleet.now, from.id, seen))

    /** A peer's answer with its content arrives. */
    fun onFetched(from: SimulatedNode, content: ConfigRevision) {
        onSeen(from, content)
        advance(content, from.id)
        perform(spread.onFetched(fleet.now, from.id))
    }

    fun onFetchFailed(from: InstanceId) = perform(spread.onFetchFailed(from))

    private fun advance(content: ConfigRevision, source: InstanceId?) {
        val usable =
            content > spread.revision || (fleet.fault == DeliberateFault.TAKES_OLDER && content < spread.revision)
        if (usable) perform(spread.onAdvanced(content, source))
        fleet.noteInForce(this)
    }

    private fun perform(effects: List<SpreadEffect>) = effects.forEach { perform(it) }

    private fun perform(effect: SpreadEffect) {
        when (effect) {
            is SpreadEffect.ReadStore -> fleet.store.read(this) { answer -> run { onRead(answer) } }
            is SpreadEffect.WatchStore ->
                fleet.store.watch(this, watched, settings.watchWait) { answer -> run { onWatchEnded(answer) } }
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
            answer > watched -> WatchEnd.CHANGED
            else -> WatchEnd.UNCHANGED
        }
        watched = maxOf(watched, answer ?: watched)
        perform(spread.onWatchEnded(fleet.now, end))
    }
}
