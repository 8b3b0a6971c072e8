package io.mimosatrail.standins.engine

import kotlinx.serialization.Serializable

/**
 * Faults of an engine.
 *
 * [slowFactor] stretches every step. [frozen] keeps connections open and answers nothing. [dead] closes connections
 * without answer and loses every KV cache. [errors] counts the run calls to come that are answered 500 without running,
 * and [lostOrders] the orders to come that take effect and lose their answer.
 */
@Serializable
data class EngineFaults(
    val slowFactor: Double = 1.0,
    val frozen: Boolean = false,
    val dead: Boolean = false,
    val errors: Int = 0,
    val lostOrders: Int = 0,
)
