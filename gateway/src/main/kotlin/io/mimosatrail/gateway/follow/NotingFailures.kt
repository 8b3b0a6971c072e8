package io.mimosatrail.gateway.follow

import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreReply

/** The same calls; [onFailure] runs after each that the store did not carry out or answer. */
internal fun StoreCall.notingFailures(onFailure: () -> Unit): StoreCall = { command ->
    val reply = this(command)
    if (reply is StoreReply.NotDone || reply is StoreReply.Uncertain) onFailure()
    reply
}
