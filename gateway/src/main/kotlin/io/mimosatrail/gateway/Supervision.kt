package io.mimosatrail.gateway

import io.mimosatrail.gateway.log.logFailure
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds

/** Short compared with the lease of an entry and with the time in which it has to notice changes. */
private val RESTART_PAUSE = 250.milliseconds

/** Logs what ends a coroutine that nothing restarts. */
internal val failureHandler = CoroutineExceptionHandler { _, cause -> logFailure("task", cause) }

/**
 * Runs [body], which runs until it is cancelled. If it fails, logs the failure with the name of the [step] and runs it
 * again after a pause. This also holds for an [Error]: without the step the entry would work on outdated state.
 */
internal fun CoroutineScope.launchSupervised(step: String, body: suspend () -> Unit): Job = launch {
    while (true) {
        try {
            return@launch body()
        } catch (e: Throwable) {
            // A CancellationException may also come from something else that was cancelled inside the body.
            ensureActive()
            logFailure(step, e)
        }
        delay(RESTART_PAUSE)
    }
}
