package io.mimosatrail.gateway.net

import io.mimosatrail.core.send.SendEnd
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse

/**
 * Receives the parts of one answer on the event loop. Exactly one of [onEnd] and [onFailed] is called, and it is last.
 */
internal interface AnswerListener {
    /** Status line and headers. */
    fun onHead(head: HttpResponse)

    /** Bytes of the body; the buffer is only valid during the call. */
    fun onBody(part: ByteBuf)

    /** The answer is complete. */
    fun onEnd()

    /** The answer will not be completed; [detail] says what happened in plain words. */
    fun onFailed(end: SendEnd, detail: String)
}
