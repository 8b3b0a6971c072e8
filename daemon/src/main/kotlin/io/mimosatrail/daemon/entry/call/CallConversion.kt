package io.mimosatrail.daemon.entry.call

import io.mimosatrail.protocol.PlainCall

/** The message that sends this call to a sidecar. [remainingMillis] is the time left until the deadline. */
internal fun ServiceCall.toMessage(remainingMillis: Long) =
    PlainCall(id, workspace, service.id, key, method, path, headers, body, priority, remainingMillis)
