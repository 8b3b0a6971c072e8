package io.mimosatrail.daemon.membership

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.time.Moment
import io.mimosatrail.core.time.TimerService
import io.mimosatrail.store.instances.HttpInstanceList
import io.mimosatrail.store.instances.InstanceSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger("instances")
private val TICK = 100.milliseconds
private val DEFAULT_PERIOD = 2.seconds

/** Maximum fraction of the period by which a poll is made earlier or later. */
private const val JITTER = 0.25

/** Polls the platform's instance list. Keeps the last list that was read while polls fail. */
class InstanceWatcher(
    private val source: InstanceSource,
    private val timers: TimerService,
    private val scope: CoroutineScope,
    private val period: Duration = DEFAULT_PERIOD,
    private val random: Random = Random.Default,
) {
    constructor(list: HttpInstanceList, timers: TimerService, scope: CoroutineScope) :
        this({ list.fetch() }, timers, scope)

    @Volatile
    private var entries: List<InstanceEntry> = emptyList()
    private val isPolling = AtomicBoolean()
    private var nextPollAt: Moment? = null
    private var isFailing = false

    /** The last list that was read; empty until the first poll has succeeded. */
    fun current(): List<InstanceEntry> = entries

    /** Starts polling. The first poll starts at the next tick. */
    fun start() {
        timers.every("instances", TICK, ::tick)
    }

    private fun tick(now: Moment) {
        if (nextPollAt.let { it != null && now < it } || !isPolling.compareAndSet(false, true)) return
        nextPollAt = now + period * (1 - JITTER + 2 * JITTER * random.nextDouble())
        scope.launch { poll() }.invokeOnCompletion { isPolling.set(false) }
    }

    private suspend fun poll() {
        source().onSuccess { onListRead(it) }.onFailure { onPollFailed(it) }
    }

    private fun onListRead(list: List<InstanceEntry>) {
        if (isFailing) log.info { "instances: poll succeeded again, the list has ${list.size} rows" }
        isFailing = false
        entries = list
    }

    private fun onPollFailed(detail: String) {
        if (!isFailing) log.warn { "instances: poll failed, keeping the last list (${entries.size} rows): $detail" }
        isFailing = true
    }
}
