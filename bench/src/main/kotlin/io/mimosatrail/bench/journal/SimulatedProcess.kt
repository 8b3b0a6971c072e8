package io.mimosatrail.bench.journal

import io.mimosatrail.core.time.Moment
import kotlin.coroutines.Continuation
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.coroutines.startCoroutine
import kotlin.time.Duration

/** A process in virtual time. Actions that arrive during a pause run after it; none run after its end. */
internal class SimulatedProcess(private val clock: CallSimulationClock) {
    private var pausedUntil = Moment(0)

    var isAlive = true
        private set

    fun pause(duration: Duration) {
        pausedUntil = clock.now + duration
    }

    fun kill() {
        isAlive = false
    }

    /** Runs [action] now, or after the current pause. Drops it if the process has ended. */
    fun run(action: () -> Unit) {
        when {
            !isAlive -> Unit
            clock.now < pausedUntil -> clock.at(pausedUntil) { run(action) }
            else -> action()
        }
    }

    fun launch(block: suspend () -> Unit) =
        block.startCoroutine(Continuation(EmptyCoroutineContext) { it.getOrThrow() })
}
