package io.mimosatrail.daemon.sidecar.describe

import io.mimosatrail.core.membership.UpstreamDescription
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.protocol.Describe
import io.mimosatrail.protocol.Described

/** Answers [Describe] messages with the description of this sidecar's upstream that [describe] returns. */
class Describer(private val host: Host, private val describe: suspend () -> UpstreamDescription) {
    /** Registers the message handler. */
    fun start() {
        host.messages.on<Describe> { _, _ -> Described(describe()) }
    }
}
