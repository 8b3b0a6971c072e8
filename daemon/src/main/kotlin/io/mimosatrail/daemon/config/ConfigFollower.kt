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
private val FETCH_TIMEOUT = 1.seconds

/** Minimum time between two peer messages that count as contact. A message with a newer revision always counts. */
private val CONTACT_PERIOD = 1.seconds

/**
 * Keeps the configuration of this process up to date. Its revision never decreases.
 *
 * [ConfigSpread] decides what to read and whom to notify; this class carries out its effects with the store and peers.
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
    private val ticketLog = TicketLogWatcher(store)
    private val lock = Any()
    private var lastInstances: List<InstanceEntry> = emptyList()
    private var members: List<SpreadMember> = emptyList()
    private var lastReadError: LogError? = null
    private var wasCutOff = true

    @Volatile
    private var lastContactAt: Moment? = null

    /**
     * True if there is a configuration, the store or several peers answered since the start or the last pause of this
     * process, and it is not [isCutOff].
     */
    val isReady: Boolean get() = synchronized(lock) { spread.isReady(clock()) }

    /** True if there was no contact with the store or any peer within [SpreadSettings.contactTimeout]. */
    val isCutOff: Boolean get() = synchronized(lock) { spread.isCutOff(clock()) }

    /** True if this process watches the store for its place. */
    val isRelay: Boolean get() = synchronized(lock) { spread.isRelay }

    /** Configuration in force in this process. */
    fun current(): Configuration = history.configuration

    /** Revision of [current]. */
    fun revision(): ConfigRevision = history.configuration.revision

    /** Handles the [revision] carried by a message of [from], and fetches the configuration if that is newer. */
    fun onPeerRevision(from: InstanceId, revision: ConfigRevision) {
        val now = clock()
        val isRecent = lastContactAt.let { it != null && now - it < CONTACT_PERIOD }
        if (isRecent && revision <= revision()) return
        lastContactAt = now
        handle { spread.onPeerRevision(now, from, revision) }
    }

    /** Registers the message handlers and the timer. */
    fun start() {
        messages.on<ConfigFetch> { _, fetch -> history.stateAfter(fetch.after) }
        messages.on<RevisionNotice> { _, _ -> null }
        timers.every("config", TICK, ::tick)
    }

    private fun tick(now: Moment) {
        handle { spread.onTick(now, currentMembers()) }
        logContactChange(now)
    }

    private fun currentMembers(): List<SpreadMember> {
        val rows = instances()
        if (rows !== lastInstances) {
            lastInstances = rows
            members = rows.filter { it.state == InstanceState.LIVE || it.id == self.id }
                .map { SpreadMember(it.id, it.place) }
        }
        return members
    }

    private fun logContactChange(now: Moment) {
        val isCutOff = synchronized(lock) { spread.isCutOff(now) }
        if (isCutOff == wasCutOff) return
        wasCutOff = isCutOff
        if (isCutOff) log.warn { "config: no contact with the store or any peer, keeping revision ${revision()}" }
        if (!isCutOff) log.info { "config: in contact with the store or a peer, revision ${revision()} is in force" }
    }

    private fun handle(event: () -> List<SpreadEffect>) {
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
        val read = ticketLog.read(history.configuration)
        logReadErrorChange(read.error)
        advance(null) { history.advance(read.configuration, read.records) }
        handle { spread.onStoreRead(clock(), succeeded = read.error !is LogError.Unavailable) }
    }

    private suspend fun watchStore() {
        val end = ticketLog.awaitChange(settings.watchWait)
        handle { spread.onWatchEnded(clock(), end) }
    }

    private suspend fun fetch(from: InstanceId) {
        val answer = addressOf(from)?.let { peers.ask(it, ConfigFetch(revision()), FETCH_TIMEOUT).get() }
        if (answer is ConfigState) {
            advance(from) { history.advance(answer) }
            handle { spread.onFetched(clock(), from) }
        } else {
            handle { spread.onFetchFailed(from) }
        }
    }

    private suspend fun notify(to: InstanceId) {
        addressOf(to)?.let { peers.send(it, RevisionNotice(revision())) }
    }

    private fun advance(source: InstanceId?, advanceHistory: () -> Boolean) {
        val advanceSpread = {
            if (advanceHistory()) spread.onAdvanced(history.configuration.revision, source) else null
        }
        val effects = synchronized(lock) { advanceSpread() } ?: return
        log.info { "config: revision ${revision()} is in force, received from ${source ?: "the store"}" }
        effects.forEach { perform(it) }
    }

    private fun addressOf(id: InstanceId) = instances().firstOrNull { it.id == id }?.address

    private fun logReadErrorChange(error: LogError?) {
        if (error == lastReadError) return
        lastReadError = error
        if (error == null) log.info { "config: the ticket log can be read again" }
        if (error != null) log.warn { "config: can't read the ticket log past revision ${revision()}: $error" }
    }
}
