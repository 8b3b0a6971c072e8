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

/** Share of the period by which each poll is earlier or later. */
private const val JITTER = 0.25

/** Polls the platform's instance list and keeps the last good answer. */
class InstanceWatcher(
    private val list: InstanceSource,
    private val timers: TimerService,
    private val scope: CoroutineScope,
    private val period: Duration = DEFAULT_PERIOD,
    private val random: Random = Random.Default,
) {
    constructor(list: HttpInstanceList, timers: TimerService, scope: CoroutineScope) :
        this({ list.fetch() }, timers, scope)

    @Volatile
    private var entries: List<InstanceEntry> = emptyList()
    private val polling = AtomicBoolean()
    private var due: Moment? = null
    private var failing = false

    /** The last list that was read, empty before the first. */
    fun current(): List<InstanceEntry> = entries

    /** Starts polling; the first poll is at the next tick. */
    fun start() {
        timers.every("instances", TICK, ::tick)
    }

    private fun tick(now: Moment) {
        if (due.let { it != null && now < it } || !polling.compareAndSet(false, true)) return
        due = now + period * (1 - JITTER + 2 * JITTER * random.nextDouble())
        scope.launch { poll() }.invokeOnCompletion { polling.set(false) }
    }

    private suspend fun poll() {
        list().onSuccess { keep(it) }.onFailure { note(it) }
    }

    private fun keep(answer: List<InstanceEntry>) {
        if (failing) log.info { "instances: the list answers again with ${answer.size} rows" }
        failing = false
        entries = answer
    }

    private fun note(detail: String) {
        if (!failing) log.warn { "instances: the list failed, the last of ${entries.size} rows stays: $detail" }
        failing = true
    }
}
