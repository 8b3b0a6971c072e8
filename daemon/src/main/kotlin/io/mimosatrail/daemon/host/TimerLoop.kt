package io.mimosatrail.daemon.host

import io.github.oshai.kotlinlogging.KotlinLogging
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.TimerService
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val log = KotlinLogging.logger("timers")
private val longestSleep = 20.milliseconds
private val shortestSleep = 1.milliseconds

/** Logs that the action of the timer [name] threw [cause]. */
internal fun logTimerFailure(name: String, cause: Throwable) =
    log.error(cause) { "timers: the timer '$name' failed: ${cause.message}" }

/** Advances [timers] with the time of [clock] until this scope is cancelled. */
internal fun CoroutineScope.driveTimers(timers: TimerService, clock: Clock) {
    launch {
        while (isActive) {
            timers.advance(clock())
            delay(sleepTime(timers, clock))
        }
    }
}

private fun sleepTime(timers: TimerService, clock: Clock): Duration {
    val now = clock()
    val due = timers.nextDue(now) ?: return longestSleep
    return (due - now).coerceIn(shortestSleep, longestSleep)
}
