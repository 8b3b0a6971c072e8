package io.mimosatrail.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What an engine ran of one sequence. [endPosition] is one past the highest position run. [positionsRun] counts every
 * run of a position, so it is higher than [endPosition] if a position ran more than once.
 */
@Serializable
data class RunRecord(
    val sequence: String,
    @SerialName("positions") val endPosition: Int,
    @SerialName("runs") val positionsRun: Long,
)

/** Runs of the layers [firstLayer] to before [endLayer] of an engine, served at `/standin/runs`. */
@Serializable
data class RunRecords(val firstLayer: Int, val endLayer: Int, val sequences: List<RunRecord>)

/** An order that an engine accepted or rejected. */
@Serializable
data class OrderRecord(val fencing: Long, val model: String, val version: String, val accepted: Boolean)

@Serializable
internal data class OrderRecords(val orders: List<OrderRecord>)
