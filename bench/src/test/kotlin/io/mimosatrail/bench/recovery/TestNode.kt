package io.mimosatrail.bench.recovery

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.InstanceRole
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.time.TimerService
import io.mimosatrail.core.time.systemClock
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.daemon.host.MessageRouter
import io.mimosatrail.protocol.PeerNode
import io.mimosatrail.protocol.PeerSettings
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds

/** A process with only what streams need: a peer node on the loopback address, timers and a host. */
class TestNode private constructor(private val node: PeerNode, val host: Host) {
    val address: PeerAddress get() = host.self.address

    /** Ends the process as a crash would. */
    fun kill() {
        node.close()
        host.scope.cancel()
    }

    companion object {
        suspend fun start(name: String, role: InstanceRole): TestNode {
            val messages = MessageRouter()
            val settings = PeerSettings(InstanceId(name), "127.0.0.1", 0, listOf("secret"))
            val node = PeerNode(settings, { ConfigRevision(0) }, handler = messages::dispatch)
            val self = InstanceEntry(InstanceId(name), role, PlaceId("Kiruna"), node.listen())
            return TestNode(node, hostOf(self, node, messages))
        }

        private fun hostOf(self: InstanceEntry, node: PeerNode, messages: MessageRouter): Host {
            val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
            val timers = TimerService { _, cause -> throw cause }
            scope.launch {
                while (true) {
                    timers.advance(systemClock())
                    delay(10.milliseconds)
                }
            }
            return Host(
                self,
                systemClock,
                timers,
                scope,
                node,
                { error("this test has no store") },
                SimpleMeterRegistry(),
                messages,
                { Configuration() },
                { emptyList() },
            )
        }
    }
}
