package io.mimosatrail.daemon.config

import com.github.michaelbull.result.onSuccess
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
import io.mimosatrail.protocol.ConfigFetch
import io.mimosatrail.protocol.ConfigState
import io.mimosatrail.protocol.Peers
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.consumeEach
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
private val PEER_PERIOD = 1.seconds
private val PEER_TIMEOUT = 2.seconds

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
    private val history = ConfigHistory()
    private val ticketLog = TicketLog(store)
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)

    /** True once the log was read to its end. */
    @Volatile
    var ready: Boolean = false
        private set

    /** What is in force in this process now. */
    fun current(): Configuration = history.configuration

    /** Revision of [current]. */
    fun revision(): ConfigRevision = history.configuration.revision

    /** Notes the revision carried by a message of [from]; catches up where that is ahead. */
    fun onPeerRevision(from: InstanceId, revision: ConfigRevision) {
        if (revision <= revision()) return
        val peer = instances().firstOrNull { it.id == from } ?: return
        scope.launch { catchUpFrom(peer) }
    }

    /** Starts following the log and checking peers. */
    fun start() {
        messages.on<ConfigFetch> { _, fetch -> history.stateAfter(fetch.after) }
        scope.launch { watch() }
        scope.launch { wakeUps.consumeEach { catchUp() } }
        timers.every("config peer", PEER_PERIOD) { checkRandomPeer() }
    }

    private fun checkRandomPeer() {
        val peer = instances().filter { it.id != self.id }.randomOrNull() ?: return
        scope.launch { catchUpFrom(peer) }
    }

    private suspend fun catchUpFrom(peer: InstanceEntry) {
        peers.ask(peer.address, ConfigFetch(revision()), PEER_TIMEOUT).onSuccess { answer ->
            if (answer is ConfigState && history.advance(answer)) inForce("from ${peer.id}")
        }
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
        val read = ticketLog.read(history.configuration)
        if (history.advance(read.configuration, read.records)) inForce("from the store")
        read.error?.let { retry(it) } ?: run { ready = true }
    }

    private fun inForce(source: String) {
        log.info { "config: revision ${revision()} is in force, $source" }
    }

    private suspend fun retry(error: LogError) {
        log.warn { "config: revision ${revision()} stays, the log can't be read on: $error" }
        delay(RETRY_DELAY * (1 + Random.nextDouble()))
        wakeUps.trySend(Unit)
    }
}
