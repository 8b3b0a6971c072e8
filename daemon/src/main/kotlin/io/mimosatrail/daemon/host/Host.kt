package io.mimosatrail.daemon.host

import io.micrometer.core.instrument.MeterRegistry
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.TimerService
import io.mimosatrail.protocol.Peers
import kotlinx.coroutines.CoroutineScope

/**
 * State and services of a daemon that its components share.
 *
 * [self] is the entry of this process in the instance list. [scope] is cancelled when the daemon stops. [configuration]
 * returns the configuration in force, and [instances] the last known instance list.
 */
class Host(
    val self: InstanceEntry,
    val clock: Clock,
    val timers: TimerService,
    val scope: CoroutineScope,
    val peers: Peers,
    val store: StoreCall,
    val meters: MeterRegistry,
    val messages: MessageRouter,
    val configuration: () -> Configuration,
    val instances: () -> List<InstanceEntry>,
)
