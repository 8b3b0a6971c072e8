package io.mimosatrail.daemon.config

import com.github.michaelbull.result.get
import io.github.oshai.kotlinlogging.KotlinLogging
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.InstanceState
import io.mimosatrail.core.spread.ConfigSpread
import io.mimosatrail.core.spread.SpreadEffect
import io.mimosatrail.core.spread.SpreadMember
import io.mimosatrail.core.spread.SpreadSettings
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import io.mimosatrail.core.time.TimerService
import io.mimosatrail.core.time.systemClock
import io.mimosatrail.daemon.host.MessageRouter
import io.mimosatrail.protocol.ConfigFetch
import io.mimosatrail.protocol.ConfigState
import io.mimosatrail.protocol.Peers
import io.mimosatrail.protocol.RevisionNotice
import io.mimosatrail.store.ticket.LogError
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger("config")
private val TICK = 200.milliseconds
private val ASK_TIMEOUT = 1.seconds

/** Messages of peers at the same revision count as contact at most this often. */
private val CONTACT_PERIOD = 1.seconds

/**
 * Keeps this process at the newest configuration; it only ever moves forward.
 *
 * [ConfigSpread] decides; this class carries out its effects over the store and the peer links.
 */
class ConfigFollower(
    private val self: InstanceEntry,
    store: StoreCall,
    private val peers: Peers,
    private val messages: MessageRouter,
    private val timers: TimerService,
    private val scope: CoroutineScope,
    private val instances: () -> List<InstanceEntry>,
    private val clock: Clock = systemClock,
    private val settings: SpreadSettings = SpreadSettings(),
) {
    private val spread = ConfigSpread(SpreadMember(self.id, self.place), Random.Default, settings)
    private val history = ConfigHistory()
    private val logWatch = LogWatch(store)
    private val lock = Any()
    private var listed: List<InstanceEntry> = emptyList()
    private var members: List<SpreadMember> = emptyList()
    private var problem: LogError? = null
    private var wasCutOff = true

    @Volatile
    private var lastContact: Moment? = null

    /** True once the store or several peers were heard, since the start or a pause, and while not [cutOff]. */
    val ready: Boolean get() = synchronized(lock) { spread.isReady(clock()) }

    /** True where neither the store nor any peer was heard for a while. */
    val cutOff: Boolean get() = synchronized(lock) { spread.isCutOff(clock()) }

    /** True where this process watches the store for its place. */
    val relay: Boolean get() = synchronized(lock) { spread.isRelay }

    /** What is in force in this process now. */
    fun current(): Configuration = history.configuration

    /** Revision of [current]. */
    fun revision(): ConfigRevision = history.configuration.revision

    /** Notes the revision carried by a message of [from]; begins to catch up where that is ahead. */
    fun onPeerRevision(from: InstanceId, revision: ConfigRevision) {
        val now = clock()
        val recent = lastContact.let { it != null && now - it < CONTACT_PERIOD }
        if (recent && revision <= revision()) return
        lastContact = now
        decide { spread.onPeerRevision(now, from, revision) }
    }

    /** Starts following. */
    fun start() {
        messages.on<ConfigFetch> { _, fetch -> history.stateAfter(fetch.after) }
        messages.on<RevisionNotice> { _, _ -> null }
        timers.every("config", TICK, ::tick)
    }

    private fun tick(now: Moment) {
        decide { spread.onTick(now, currentMembers()) }
        noteContact(now)
    }

    private fun currentMembers(): List<SpreadMember> {
        val rows = instances()
        if (rows !== listed) {
            listed = rows
            members = rows.filter { it.state == InstanceState.LIVE || it.id == self.id }
                .map { SpreadMember(it.id, it.place) }
        }
        return members
    }

    private fun noteContact(now: Moment) {
        val isCutOff = synchronized(lock) { spread.isCutOff(now) }
        if (isCutOff == wasCutOff) return
        wasCutOff = isCutOff
        if (isCutOff) log.warn { "config: cut off from the store and every peer, revision ${revision()} stays" }
        if (!isCutOff) log.info { "config: in contact, at revision ${revision()}" }
    }

    private fun decide(event: () -> List<SpreadEffect>) {
        synchronized(lock) { event() }.forEach { perform(it) }
    }

    private fun perform(effect: SpreadEffect) {
        when (effect) {
            is SpreadEffect.ReadStore -> scope.launch { readStore() }
            is SpreadEffect.WatchStore -> scope.launch { watchStore() }
            is SpreadEffect.Fetch -> scope.launch { fetch(effect.from) }
            is SpreadEffect.Notify -> effect.to.forEach { scope.launch { notify(it) } }
        }
    }

    private suspend fun readStore() {
        val read = logWatch.read(history.configuration)
        note(read.error)
        advance(null) { history.advance(read.configuration, read.records) }
        decide { spread.onStoreRead(clock(), succeeded = read.error !is LogError.Unavailable) }
    }

    private suspend fun watchStore() {
        val end = logWatch.await(settings.watchWait)
        decide { spread.onWatchEnded(clock(), end) }
    }

    private suspend fun fetch(from: InstanceId) {
        val answer = addressOf(from)?.let { peers.ask(it, ConfigFetch(revision()), ASK_TIMEOUT).get() }
        if (answer is ConfigState) {
            advance(from) { history.advance(answer) }
            decide { spread.onFetched(clock(), from) }
        } else {
            decide { spread.onFetchFailed(from) }
        }
    }

    private suspend fun notify(to: InstanceId) {
        addressOf(to)?.let { peers.send(it, RevisionNotice(revision())) }
    }

    private fun advance(source: InstanceId?, take: () -> Boolean) {
        val taken = { if (take()) spread.onAdvanced(history.configuration.revision, source) else null }
        val effects = synchronized(lock) { taken() } ?: return
        log.info { "config: revision ${revision()} is in force, from ${source ?: "the store"}" }
        effects.forEach { perform(it) }
    }

    private fun addressOf(id: InstanceId) = instances().firstOrNull { it.id == id }?.address

    private fun note(error: LogError?) {
        if (error == problem) return
        problem = error
        if (error == null) log.info { "config: the log can be read again" }
        if (error != null) log.warn { "config: revision ${revision()} stays, the log can't be read on: $error" }
    }
}
