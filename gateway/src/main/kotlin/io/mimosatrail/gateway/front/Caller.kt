package io.mimosatrail.gateway.front

import io.mimosatrail.core.time.Moment
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/** One request of a caller and the way to answer it. Confined to the event loop; [request] lives until the answer. */
internal class Caller(val request: FullHttpRequest, val receivedAt: Moment, private val output: CallerOutput) {
    /** Called once if the caller closes its connection before the answer is complete. */
    var onGone: () -> Unit = {}

    /** Called when the caller takes more bytes after [isWritable] was false. */
    var onWritable: () -> Unit = {}

    /** False while the caller takes the answer slower than it comes. */
    val isWritable: Boolean get() = output.isWritable

    /** Sends a whole answer. Takes over the reference to [body]. */
    fun answer(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) = output.answer(status, headers, body)

    /** Sends the head of an answer whose length is not known. */
    fun begin(status: HttpResponseStatus, headers: HttpHeaders) = output.begin(status, headers)

    /** Sends a part of the body. Takes over the reference to [part]. */
    fun write(part: ByteBuf) = output.write(part)

    /** Ends an answer that was begun. */
    fun finish() = output.finish()

    /** Closes the connection, so that an answer that was begun does not look complete. */
    fun cut() = output.cut()
}

/** Writes the answer to one request to the connection it came on. */
internal interface CallerOutput {
    val isWritable: Boolean

    fun answer(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf)

    fun begin(status: HttpResponseStatus, headers: HttpHeaders)

    fun write(part: ByteBuf)

    fun finish()

    fun cut()
}
