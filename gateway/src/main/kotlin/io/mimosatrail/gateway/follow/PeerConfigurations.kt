package io.mimosatrail.gateway.follow

import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The newest version of the configuration that other entries report to have in force. */
internal class PeerConfigurations(private val clock: Clock) {
    private var newest = 0L
    private var reportedAt: Moment? = null

    /** Records that another entry has [version] in force. */
    fun onReport(version: Long) {
        if (version < newest && isRecent()) return
        newest = version
        reportedAt = clock()
    }

    /** True if another entry has recently reported a version after [version]. */
    fun isNewer(version: Long): Boolean = newest > version && isRecent()

    private fun isRecent(): Boolean = reportedAt?.let { clock() - it < MAX_AGE } ?: false

    private companion object {
        /** Several messages of each entry arrive within this time. */
        val MAX_AGE: Duration = 5.seconds
    }
}
