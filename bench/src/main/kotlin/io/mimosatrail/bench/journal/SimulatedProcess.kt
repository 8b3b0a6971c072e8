package io.mimosatrail.bench.journal

import io.mimosatrail.core.time.Moment
import kotlin.coroutines.Continuation
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.coroutines.startCoroutine
import kotlin.time.Duration

/** One life of a process: what arrives during a pause is handled after it, and nothing after its end. */
internal class SimulatedProcess(private val time: VirtualTime) {
    private var pausedUntil = Moment(0)

    var isAlive = true
        private set

    fun pause(duration: Duration) {
        pausedUntil = time.now + duration
    }

    fun kill() {
        isAlive = false
    }

    /** Runs [action] as soon as the process runs. */
    fun run(action: () -> Unit) {
        when {
            !isAlive -> Unit
            time.now < pausedUntil -> time.at(pausedUntil) { run(action) }
            else -> action()
        }
    }

    fun launch(block: suspend () -> Unit) =
        block.startCoroutine(Continuation(EmptyCoroutineContext) { it.getOrThrow() })
}
