package io.mimosatrail.bench.fleet

import io.mimosatrail.daemon.Daemon
import io.mimosatrail.daemon.DaemonAddresses
import io.mimosatrail.daemon.settings.DaemonSettings

/** One running daemon of a [Fleet]. */
class Member(val settings: DaemonSettings, val daemon: Daemon, val addresses: DaemonAddresses) {
    val name: String get() = settings.instance.value

    /** Base URL of the callers' interface of an entry. */
    val url: String get() = "http://${checkNotNull(addresses.http)}"
}
