package io.mimosatrail.gateway.follow

import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.gateway.log.logEvent
import io.mimosatrail.gateway.log.logProblem

/** Logs when the store stops answering the calls of [component] and when it answers again. */
internal class StoreOutageLog(private val component: String) {
    private var isLost = false

    /** Called after each call that the store answered. */
    fun onAnswer() {
        if (isLost) logEvent(component, "store-regained")
        isLost = false
    }

    /** Called after each call that failed. */
    fun onFailure(reply: StoreReply) {
        if (!isLost) logProblem(component, "store-lost", "reply" to reply)
        isLost = true
    }
}
