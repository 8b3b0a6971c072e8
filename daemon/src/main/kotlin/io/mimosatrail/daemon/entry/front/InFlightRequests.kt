package io.mimosatrail.daemon.entry.front

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

/** Counts the callers' requests in flight. Rejects new ones above [maxRequests] and while the process drains. */
internal class InFlightRequests(private val maxRequests: Int) {
    /** Number of [requests] in flight, and whether the process drains. */
    data class State(val requests: Int = 0, val isDraining: Boolean = false)

    /** Whether a request may start, and if not, why. */
    enum class Acquisition { ACQUIRED, FULL, DRAINING }

    private val state = MutableStateFlow(State())

    val current: State get() = state.value

    /** Counts one more request if it may start. After [Acquisition.ACQUIRED] the caller must call [release] once. */
    fun tryAcquire(): Acquisition {
        while (true) {
            val now = state.value
            if (now.isDraining) return Acquisition.DRAINING
            if (now.requests >= maxRequests) return Acquisition.FULL
            if (state.compareAndSet(now, now.copy(requests = now.requests + 1))) return Acquisition.ACQUIRED
        }
    }

    /** Removes one request from the count. */
    fun release() = state.update { it.copy(requests = it.requests - 1) }

    fun startDraining() = state.update { it.copy(isDraining = true) }

    /** Waits until no request is in flight. */
    suspend fun awaitIdle() {
        state.first { it.requests == 0 }
    }
}
