package io.mimosatrail.standins.faults

import io.mimosatrail.standins.json
import io.mimosatrail.standins.jsonResponse
import kotlinx.serialization.KSerializer
import org.http4k.core.Method.DELETE
import org.http4k.core.Method.GET
import org.http4k.core.Method.POST
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes
import java.util.concurrent.atomic.AtomicReference

/** Holds the active faults of a stand-in. [noFaults] is the value without any fault. Thread-safe. */
class FaultSwitch<F : Any>(private val noFaults: F, private val serializer: KSerializer<F>) {
    private val state = AtomicReference(noFaults)

    /** The active faults. */
    val current: F get() = state.get()

    /** Replaces the active faults with [faults]. */
    fun set(faults: F) = state.set(faults)

    /** Changes the active faults atomically. [change] may be called more than once. */
    fun update(change: (F) -> F) {
        state.updateAndGet(change)
    }

    /** Ends all faults. */
    fun clear() = state.set(noFaults)

    /** If [isArmed] holds for the active faults, atomically replaces them with [afterUse] and returns true. */
    internal fun consume(isArmed: (F) -> Boolean, afterUse: (F) -> F): Boolean {
        val before = state.getAndUpdate { if (isArmed(it)) afterUse(it) else it }
        return isArmed(before)
    }

    /** Routes for other processes to read, set and clear the faults. */
    internal fun routes(): RoutingHttpHandler = routes(
        "/standin/faults" bind GET to { Response(Status.OK).body(json.encodeToString(serializer, current)) },
        "/standin/faults" bind POST to { request ->
            set(json.decodeFromString(serializer, request.bodyString()))
            jsonResponse("ok")
        },
        "/standin/faults" bind DELETE to {
            clear()
            jsonResponse("ok")
        },
    )
}
