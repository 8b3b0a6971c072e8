package io.mimosatrail.core.limits

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val TICK = 20.milliseconds
private const val TICKS_PER_SECOND = 50
private const val TICKS_BETWEEN_GOSSIP = 12
private const val PEERS_PER_ROUND = 6
private const val LOST_MESSAGES = 0.1
private val LIMITED_FROM = Moment(0) + 4.seconds
private val ANSWER_TIME = 60.milliseconds
private val NOTICE = 3.seconds
private val WINDOW = 4.seconds
private val RESTART_TIME = 3.seconds

/** An entry is bound by a limit from this time after it received the first answer that announced it. */
private val REACTION_TIME = 500.milliseconds

/** Requests a second that each of [weights].size entries would send; the demand moves on every [shiftAfter]. */
internal class Demand(val perSecond: Double, val weights: List<Double>, val shiftAfter: Duration = Duration.INFINITE)

/**
 * An upstream that announces a limit of [limit] requests a second from its fifth second on, before entries that have
 * [demand] for it. The entries exchange reports as in production; one message in ten is lost. With [hasRestarts],
 * entries restart in turn.
 */
internal class LimitedUpstream(
    private val limit: Double,
    private val demand: Demand,
    private val hasRestarts: Boolean,
    seed: Int,
) {
    private class PendingAnswer(val entry: Int, val sentAt: Moment, val receivedAt: Moment)

    private val random = Random(seed)
    private val entries = demand.weights.size
    private val ids = List(entries) { InstanceId("edge-$it") }
    private val rates = MutableList(entries) { newEntry(it) }
    private val downUntil = Array(entries) { Moment(0) }
    private val nextPeer = IntArray(entries) { random.nextInt(entries) }
    private val answers = ArrayDeque<PendingAnswer>()
    private val knownSince = arrayOfNulls<Moment>(entries)
    private val boundArrivals = mutableListOf<Moment>()

    /** Requests that the entries had for the upstream while it was limited. */
    var wanted = 0
        private set

    /** Requests that were sent while it was limited. */
    var sent = 0
        private set

    /**
     * Plays [length] with the limit and returns the most arrivals in a window that ends [NOTICE] after its start or
     * later, not counting those from entries that did not know the limit or have just restarted.
     */
    fun play(length: Duration): Int {
        val ticks = ((LIMITED_FROM + length - Moment(0)) / TICK).toInt()
        for (tick in 0 until ticks) step(Moment(0) + TICK * tick, tick)
        val counted = boundArrivals.filter { it >= LIMITED_FROM + NOTICE }
        return counted.maxOfOrNull { end -> boundArrivals.count { it > end - WINDOW && it <= end } } ?: 0
    }

    private fun newEntry(index: Int) = SharedRates(ids[index], { ids.toSet() }, { entries })

    private fun step(now: Moment, tick: Int) {
        receiveAnswers(now)
        if (hasRestarts && tick % (TICKS_PER_SECOND * 2) == 0) restart(random.nextInt(entries), now)
        for (entry in 0 until entries) {
            if (now < downUntil[entry]) continue
            if ((tick + entry) % TICKS_BETWEEN_GOSSIP == 0) gossip(entry, now)
            repeat(requestsAt(entry, now)) { trySend(entry, now) }
        }
    }

    private fun requestsAt(entry: Int, now: Moment): Int {
        val shifts = ((now - Moment(0)) / demand.shiftAfter).toInt()
        val weight = demand.weights[(entry + shifts) % entries] / demand.weights.sum()
        val expected = demand.perSecond * weight / TICKS_PER_SECOND
        return expected.toInt() + if (random.nextDouble() < expected % 1) 1 else 0
    }

    private fun trySend(entry: Int, now: Moment) {
        if (now >= LIMITED_FROM) wanted++
        if (!rates[entry].maySend(upstream, now)) return
        rates[entry].onSend(upstream, now)
        if (now >= LIMITED_FROM) sent++
        if (isBound(entry, now)) boundArrivals += now
        answers += PendingAnswer(entry, now, now + ANSWER_TIME)
    }

    private fun isBound(entry: Int, now: Moment): Boolean {
        val isExcused = downUntil[entry] > Moment(0) && now < downUntil[entry] + NOTICE
        return !isExcused && knownSince[entry]?.let { now - it >= REACTION_TIME } ?: false
    }

    private fun receiveAnswers(now: Moment) {
        while (answers.firstOrNull()?.let { it.receivedAt <= now } ?: false) {
            val answer = answers.removeFirst()
            val announced = limit.takeIf { now >= LIMITED_FROM }
            if (announced != null && knownSince[answer.entry] == null) knownSince[answer.entry] = now
            rates[answer.entry].onAnswer(upstream, announced, answer.sentAt, now)
        }
    }

    private fun gossip(entry: Int, now: Moment) {
        val reports = rates[entry].reports(now)
        repeat(minOf(PEERS_PER_ROUND, entries - 1)) {
            val peer = nextPeer[entry]++ % entries
            val isReceived = peer != entry && now >= downUntil[peer] && random.nextDouble() >= LOST_MESSAGES
            if (isReceived) rates[peer].onReports(ids[entry], reports, now)
        }
    }

    private fun restart(entry: Int, now: Moment) {
        rates[entry] = newEntry(entry)
        knownSince[entry] = null
        downUntil[entry] = now + RESTART_TIME
        answers.removeIf { it.entry == entry }
    }

    companion object {
        val upstream = InstanceId("i-1")
    }
}
