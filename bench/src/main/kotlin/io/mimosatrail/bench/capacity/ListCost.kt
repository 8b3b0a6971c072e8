package io.mimosatrail.bench.capacity

import io.mimosatrail.core.membership.InstanceEntry
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

private val instanceCounts = listOf(10, 100, 330, 930)

/** Size of a complete transfer of the instance list. */
internal fun listSeries(): List<Series> =
    listOf(Series("instance list transfer", "bytes", "instance", instanceCounts) { listBytes(it) })

private fun listBytes(instances: Int): Double {
    val rows = List(instances) { listRow(it, 32) }
    return Json.encodeToString(ListSerializer(InstanceEntry.serializer()), rows).length.toDouble()
}
