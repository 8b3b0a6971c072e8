package io.mimosatrail.gateway.front

import io.mimosatrail.core.front.FrontLimits
import kotlin.time.Duration.Companion.seconds

/**
 * The limits on what callers may send, which change while their connections are open. [configured] returns null until
 * a configuration has been read, and [isOutdated] tells whether there is a newer one than that.
 */
internal class LimitsInForce(
    private val configured: () -> FrontLimits?,
    private val isOutdated: () -> Boolean = { false },
) {
    /** The limits at this moment; before the first configuration, those that protect this process. */
    val now: FrontLimits get() = configured() ?: beforeConfiguration

    /** True if a request beyond the limits may be allowed by a configuration that this entry has not read. */
    val isProvisional: Boolean get() = configured() == null || isOutdated()

    private companion object {
        val beforeConfiguration = FrontLimits(
            maxHeaderBytes = 16 * 1024,
            maxBodyBytes = 1024 * 1024,
            headerTimeout = 5.seconds,
            idleTimeout = 30.seconds,
        )
    }
}
