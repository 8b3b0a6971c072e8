package io.mimosatrail.standins.faults

import io.mimosatrail.standins.answer
import io.mimosatrail.standins.json
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

/** Faults of a stand-in that are switched on now; [none] is the state without faults. */
class FaultSwitch<F : Any>(private val none: F, private val serializer: KSerializer<F>) {
    private val state = AtomicReference(none)

    /** Faults in force. */
    val current: F get() = state.get()

    /** Puts [faults] in force in place of those before. */
    fun set(faults: F) = state.set(faults)

    /** Changes the faults in force atomically. */
    fun update(change: (F) -> F) {
        state.updateAndGet(change)
    }

    /** Ends all faults. */
    fun clear() = state.set(none)

    /** Takes one from a counted fault: where [armed], puts [spent] in force and answers true. */
    internal fun take(armed: (F) -> Boolean, spent: (F) -> F): Boolean {
        val before = state.getAndUpdate { if (armed(it)) spent(it) else it }
        return armed(before)
    }

    /** Routes under which another process reads and sets the faults. */
    internal fun routes(): RoutingHttpHandler = routes(
        "/standin/faults" bind GET to { Response(Status.OK).body(json.encodeToString(serializer, current)) },
        "/standin/faults" bind POST to { request ->
            set(json.decodeFromString(serializer, request.bodyString()))
            answer("ok")
        },
        "/standin/faults" bind DELETE to {
            clear()
            answer("ok")
        },
    )
}
