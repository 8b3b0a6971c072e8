package io.mimosatrail.daemon.config

import io.github.oshai.kotlinlogging.KotlinLogging
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.time.TimerService
import io.mimosatrail.daemon.host.MessageRouter
import io.mimosatrail.platform.ticket.ConfigKeys
import io.mimosatrail.platform.ticket.LogError
import io.mimosatrail.platform.ticket.TicketLog
import io.mimosatrail.protocol.Peers
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlin.coroutines.coroutineContext
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger("config")
private val WATCH_WAIT = 20.seconds
private val RETRY_DELAY = 500.milliseconds

/** Keeps this process at the newest configuration; it only ever moves forward. */
class ConfigFollower(
    private val self: InstanceEntry,
    private val store: StoreCall,
    private val peers: Peers,
    private val messages: MessageRouter,
    private val timers: TimerService,
    private val scope: CoroutineScope,
    private val instances: () -> List<InstanceEntry>,
) {
    private val ticketLog = TicketLog(store)
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var configuration = Configuration()

    /** True once the log was read to its end. */
    @Volatile
    var ready: Boolean = false
        private set

    /** What is in force in this process now. */
    fun current(): Configuration = configuration

    /** Revision of [current]. */
    fun revision(): ConfigRevision = configuration.revision

    /** Notes the revision carried by a message of [from]; reads the log where that is ahead. */
    fun onPeerRevision(from: InstanceId, revision: ConfigRevision) {
        if (revision > configuration.revision) wakeUps.trySend(Unit)
    }

    /** Starts following the log. */
    fun start() {
        scope.launch { watch() }
        scope.launch { for (wakeUp in wakeUps) catchUp() }
    }

    private suspend fun watch() {
        var seen = StoreRevision(0)
        var wait = 0.seconds
        while (coroutineContext.isActive) {
            when (val reply = store(StoreCommand.Watch(ConfigKeys.LOG, seen, wait))) {
                is StoreReply.Changes -> {
                    seen = reply.revision
                    wait = WATCH_WAIT
                    wakeUps.send(Unit)
                }
                else -> delay(RETRY_DELAY * (1 + Random.nextDouble()))
            }
        }
    }

    private suspend fun catchUp() {
        val read = ticketLog.read(configuration)
        if (read.configuration.revision > configuration.revision) {
            configuration = read.configuration
            log.info { "config: revision ${configuration.revision} is in force" }
        }
        read.error?.let { retry(it) } ?: run { ready = true }
    }

    private suspend fun retry(error: LogError) {
        log.warn { "config: revision ${configuration.revision} stays, the log can't be read on: $error" }
        delay(RETRY_DELAY * (1 + Random.nextDouble()))
        wakeUps.trySend(Unit)
    }
}
