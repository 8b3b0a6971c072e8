package io.mimosatrail.standins.engine

import kotlinx.serialization.Serializable

/**
 * Faults of an engine.
 *
 * [slowFactor] multiplies the time of each step. With [frozen] the engine keeps connections open and sends no response.
 * With [dead] it closes connections without a response and loses all KV caches. The next [errors] run calls get status
 * 500 and are not run. The next [lostOrders] accepted orders take effect, but their connections are closed without a
 * response.
 */
@Serializable
data class EngineFaults(
    val slowFactor: Double = 1.0,
    val frozen: Boolean = false,
    val dead: Boolean = false,
    val errors: Int = 0,
    val lostOrders: Int = 0,
)
