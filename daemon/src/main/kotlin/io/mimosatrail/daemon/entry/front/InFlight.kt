package io.mimosatrail.daemon.entry.front

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

/** Counts the callers' requests in flight, and refuses more at a planned stop or over [limit]. */
internal class InFlight(private val limit: Int) {
    /** Requests in flight, and whether the process drains. */
    data class State(val requests: Int = 0, val draining: Boolean = false)

    /** Whether a request may start. */
    enum class Entry { ENTERED, FULL, DRAINING }

    private val state = MutableStateFlow(State())

    val current: State get() = state.value

    /** Counts one request, to be followed by [leave] if it answers [Entry.ENTERED]. */
    fun enter(): Entry {
        while (true) {
            val now = state.value
            if (now.draining) return Entry.DRAINING
            if (now.requests >= limit) return Entry.FULL
            if (state.compareAndSet(now, now.copy(requests = now.requests + 1))) return Entry.ENTERED
        }
    }

    fun leave() = state.update { it.copy(requests = it.requests - 1) }

    fun startDraining() = state.update { it.copy(draining = true) }

    /** Waits until no request is in flight. */
    suspend fun awaitIdle() {
        state.first { it.requests == 0 }
    }
}
