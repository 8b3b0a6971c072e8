package io.mimosatrail.daemon.entry.call

import io.mimosatrail.protocol.PlainCall

/** The message that carries this call to a sidecar, with [remainingMillis] until its deadline. */
internal fun ServiceCall.toMessage(remainingMillis: Long) =
    PlainCall(id, workspace, service.id, key, method, path, headers, body, priority, remainingMillis)
