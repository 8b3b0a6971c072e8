package io.mimosatrail.gateway.forward

import io.mimosatrail.core.quarantine.ContentObstacle
import io.mimosatrail.core.quarantine.trialPlace
import io.mimosatrail.core.send.SendHistory
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides for one request whether its content may reach another upstream, by the quarantine that all requests share and
 * by what its own sends, in [history], have met with. [isSentElsewhere] returns true while this entry has another send
 * of the same content, or finds out what became of one.
 */
internal class ContentGate(
    private val call: RoutedCall,
    private val history: SendHistory,
    private val context: ForwardContext,
    private val isSentElsewhere: () -> Boolean,
) {
    private var doubtedSince: Moment? = null
    private var hasBrokenOff = false

    /** True if an upstream may have crashed under this request, or under an earlier one with the same content. */
    val hasMetWithCrash: Boolean get() = hasBrokenOff || context.quarantine.hasCrashed(call.content)

    /** True if the content may be sent, but only once at a time. */
    val isOnTrial: Boolean get() = find() == ContentObstacle.OnTrial

    /** Records that the answer to a send broke off. */
    fun onBroken() {
        hasBrokenOff = true
    }

    /** Why the content may not reach another upstream, or null if it may, at once or after a wait. */
    fun obstacle(): ContentObstacle? = when (val found = find()) {
        ContentObstacle.Suspected -> found.takeIf { !history.hasNotRun || isWaitOver() }
        ContentObstacle.OnTrial -> found.takeIf { isWaitOver() && isSentElsewhere() }
        else -> found
    }

    /**
     * True while a send is put off: others are to confirm the suspicion against the request or to clear it, or another
     * send of the same request is the trial that decides.
     */
    fun isWaitingForVerdict(): Boolean {
        val isWaiting = when (find()) {
            ContentObstacle.Suspected -> true
            ContentObstacle.OnTrial -> isSentElsewhere() || context.clock() - waitingSince() < trialDelay()
            else -> false
        }
        if (isWaiting) waitingSince()
        return isWaiting
    }

    private fun find(): ContentObstacle? =
        context.quarantine.obstacle(call.content, isRepeat = !history.hasNotRun, context.clock())

    /** Since when a send has been put off. */
    private fun waitingSince(): Moment = doubtedSince ?: context.clock().also { doubtedSince = it }

    /** True if a send was put off for so long that it is refused. */
    private fun isWaitOver(): Boolean = doubtedSince?.let { context.clock() - it >= MAX_VERDICT_WAIT } ?: false

    /** Entries that send a request on trial one after the other learn from each other what becomes of it. */
    private fun trialDelay(): Duration {
        val place = trialPlace(context.access.self, context.share().ids, call.content.fingerprint())
        return (TRIAL_INTERVAL * place).coerceAtMost(MAX_TRIAL_DELAY)
    }

    private companion object {
        /** Other entries report what they know of a crash within this time, except in the largest fleets. */
        val MAX_VERDICT_WAIT = 1.seconds

        /** Time in which a short run ends, and its end is reported. */
        val TRIAL_INTERVAL = 300.milliseconds
        val MAX_TRIAL_DELAY = 900.milliseconds
    }
}
