package io.mimosatrail.bench.fleet

import io.mimosatrail.daemon.Daemon
import io.mimosatrail.daemon.DaemonAddresses
import io.mimosatrail.daemon.settings.DaemonSettings

/** A running daemon of a [Fleet]. */
class FleetInstance(val settings: DaemonSettings, val daemon: Daemon, val addresses: DaemonAddresses) {
    val name: String get() = settings.instance.value

    /** Base URL of the callers' HTTP interface. Only entries have one; for a sidecar this throws. */
    val url: String get() = "http://${checkNotNull(addresses.http)}"
}
