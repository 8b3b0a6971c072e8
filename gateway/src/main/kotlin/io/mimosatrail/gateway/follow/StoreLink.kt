package io.mimosatrail.gateway.follow

import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.gateway.log.logEvent
import io.mimosatrail.gateway.log.logProblem

/** Logs when [user] loses the store and when it is back. */
internal class StoreLink(private val user: String) {
    private var isLost = false

    /** Notes that the store answered. */
    fun onAnswer() {
        if (isLost) logEvent(user, "store-regained")
        isLost = false
    }

    /** Notes a reply that is not the expected one. */
    fun onFailure(reply: StoreReply) {
        if (!isLost) logProblem(user, "store-lost", "reply" to reply)
        isLost = true
    }
}
