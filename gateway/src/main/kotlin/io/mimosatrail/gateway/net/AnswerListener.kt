package io.mimosatrail.gateway.net

import io.mimosatrail.core.send.SendEnd
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse

/**
 * Receives one answer on the event loop. Unless the request is aborted, exactly one of [onEnd] and [onFailed] is
 * called, as the last call.
 */
internal interface AnswerListener {
    /** Called once with the status line and the headers. */
    fun onHead(head: HttpResponse)

    /** Called with each chunk of the body; the buffer is only valid during the call. */
    fun onBody(part: ByteBuf)

    /** The answer is complete. */
    fun onEnd()

    /** The answer will not be completed; [detail] describes what happened. */
    fun onFailed(end: SendEnd, detail: String)
}
