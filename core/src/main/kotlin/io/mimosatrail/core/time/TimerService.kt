package io.mimosatrail.core.time

import kotlin.time.Duration

/**
 * Runs actions periodically. It has no thread of its own: the host calls [advance], and due actions run in that call.
 *
 * Due actions run in order of due time, then of subscription. An action that is late by several periods runs once.
 * [onFailure] is called with the name of an action that throws and with what it threw; the others run all the same.
 */
class TimerService(private val onFailure: (name: String, cause: Throwable) -> Unit) {
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

    /** Runs every action that is due at [now]. */
    fun advance(now: Moment) {
        for (subscription in due(now)) {
            try {
                subscription.action(now)
            } catch (e: Throwable) {
                onFailure(subscription.name, e)
            }
        }
    }

    /** Earliest due time: null if there are no subscriptions, [now] if an action has never run. */
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
