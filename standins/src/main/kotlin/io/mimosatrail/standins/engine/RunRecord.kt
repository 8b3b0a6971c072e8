package io.mimosatrail.standins.engine

import kotlinx.serialization.Serializable

/**
 * What an engine ran of one sequence: [positions] is one past the highest position run, [runs] counts the positions
 * run; the second is the larger where a position ran more than once.
 */
@Serializable
data class RunRecord(val sequence: String, val positions: Int, val runs: Long)

/** Runs of an engine's layers, for checks from outside. */
@Serializable
data class RunRecords(val firstLayer: Int, val endLayer: Int, val sequences: List<RunRecord>)

/** An order that an engine took or refused, in order of arrival. */
@Serializable
data class OrderRecord(val fencing: Long, val model: String, val version: String, val accepted: Boolean)

@Serializable
internal data class OrderRecords(val orders: List<OrderRecord>)
