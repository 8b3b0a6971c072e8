package io.mimosatrail.gateway.forward

import io.mimosatrail.core.send.SendEnd

/** Events of an [UpstreamExchange], and a decision that it needs while the send is open. */
internal interface ExchangeCallbacks {
    /** The first bytes of an event or of a body are about to be passed to the caller. */
    fun onProgress()

    /** The send ended without a response that could be passed to the caller. */
    fun onFailed(end: SendEnd, detail: String)

    /**
     * True if the upstream's error response should be dropped because the request will be sent again. The retry is
     * then prepared already.
     */
    fun mayReplaceFailure(): Boolean

    /** The response has been passed to the caller in full. */
    fun onComplete()
}
