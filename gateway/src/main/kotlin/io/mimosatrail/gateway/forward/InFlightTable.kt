package io.mimosatrail.gateway.forward

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.stall.StreamActivity
import io.mimosatrail.core.time.Moment

/** Requests that are being forwarded. */
internal class InFlightTable {
    private val forwards = LinkedHashSet<Forward>()

    val size: Int get() = forwards.size

    operator fun plusAssign(forward: Forward) {
        forwards += forward
    }

    operator fun minusAssign(forward: Forward) {
        forwards -= forward
    }

    /** Lets every stream that passes [engine] look for another way. */
    fun onEngineDown(engine: InstanceId) = forwards.toList().forEach { it.onEngineDown(engine) }

    /** What the streams under way show. */
    fun signs(now: Moment): List<StreamActivity> = forwards.mapNotNull { it.sign(now) }

    /** Lets each request look at its deadlines. */
    fun tick(now: Moment) = forwards.toList().forEach { it.onTick(now) }
}
