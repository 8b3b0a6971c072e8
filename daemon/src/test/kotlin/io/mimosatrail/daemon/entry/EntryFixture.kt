package io.mimosatrail.daemon.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.InstanceRole
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.time.Moment
import io.mimosatrail.core.time.TimerService
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.daemon.host.MessageRouter
import io.mimosatrail.protocol.PeerError
import io.mimosatrail.protocol.PeerMessage
import io.mimosatrail.protocol.Peers
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlin.time.Duration

internal val inspection = ServiceId("inspection")

internal fun instance(name: String, role: InstanceRole, port: Int) = InstanceEntry(
    InstanceId(name),
    role,
    PlaceId("lulea"),
    PeerAddress("127.0.0.1", port),
    service = inspection.takeIf { role == InstanceRole.SIDECAR },
)

/** Replies to messages with [replies] by address. Other addresses are unreachable; a null reply means no answer. */
internal class FakePeers(val replies: MutableMap<PeerAddress, (PeerMessage) -> PeerMessage?> = mutableMapOf()) : Peers {
    override suspend fun send(to: PeerAddress, message: PeerMessage): Result<Unit, PeerError> =
        if (to in replies) Ok(Unit) else Err(PeerError.Unreachable(to, "absent"))

    override suspend fun ask(to: PeerAddress, message: PeerMessage, timeout: Duration): Result<PeerMessage, PeerError> {
        val reply = replies[to] ?: return Err(PeerError.Unreachable(to, "absent"))
        return reply(message)?.let { Ok(it) } ?: Err(PeerError.NoAnswer(to, "silent"))
    }
}

/** A host with a manual clock, whose coroutines run unconfined. */
internal class EntryFixture(val self: InstanceEntry = instance("entry", InstanceRole.ENTRY, 1)) {
    val peers = FakePeers()
    val timers = TimerService { _, cause -> throw cause }
    var now = Moment(0)
    var instances = listOf(self)
    var configuration = Configuration()

    val host = Host(
        self,
        { now },
        timers,
        CoroutineScope(Dispatchers.Unconfined),
        peers,
        { error("no store in this test") },
        SimpleMeterRegistry(),
        MessageRouter(),
        { configuration },
        { instances },
    )

    fun advance(by: Duration) {
        now += by
        timers.advance(now)
    }
}
