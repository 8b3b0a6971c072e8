package io.mimosatrail.core.time

import kotlin.time.Duration

/**
 * Calls subscribers at their period. The host drives it by calling [advance]; it holds no thread.
 *
 * Subscribers run in order of due time, then of subscription. A subscriber that is late by several periods runs once.
 */
class TimerService {
    private class Subscription(val name: String, val period: Duration, val action: (Moment) -> Unit) {
        var due: Moment? = null
    }

    private val subscriptions = mutableListOf<Subscription>()

    /** Runs [action] every [period], first at the next [advance]. The returned function ends the subscription. */
    @Synchronized
    fun every(name: String, period: Duration, action: (Moment) -> Unit): () -> Unit {
        val subscription = Subscription(name, period, action)
        subscriptions += subscription
        return { remove(subscription) }
    }

    /** Runs everything that is due at [now]. */
    fun advance(now: Moment) {
        due(now).forEach { it.action(now) }
    }

    /** Earliest due time, or null without subscribers; [now] if one has never run. */
    @Synchronized
    fun nextDue(now: Moment): Moment? = subscriptions.minOfOrNull { it.due ?: now }

    @Synchronized
    private fun remove(subscription: Subscription) {
        subscriptions -= subscription
    }

    @Synchronized
    private fun due(now: Moment): List<Subscription> {
        val ready = subscriptions.filter { subscription -> subscription.due.let { it == null || it <= now } }
        val ordered = ready.sortedBy { it.due?.nanos ?: Long.MIN_VALUE }
        ordered.forEach { it.due = now + it.period }
        return ordered
    }
}
