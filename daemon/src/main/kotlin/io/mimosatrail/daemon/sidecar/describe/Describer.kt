package io.mimosatrail.daemon.sidecar.describe

import io.mimosatrail.core.membership.UpstreamDescription
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.protocol.Describe
import io.mimosatrail.protocol.Described

/** Answers entries' questions about this sidecar's upstream with what [describe] says now. */
class Describer(private val host: Host, private val describe: suspend () -> UpstreamDescription) {
    /** Begins to answer. */
    fun start() {
        host.messages.on<Describe> { _, _ -> Described(describe()) }
    }
}
