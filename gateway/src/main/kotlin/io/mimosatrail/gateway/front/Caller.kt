package io.mimosatrail.gateway.front

import io.mimosatrail.core.time.Moment
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * One request of a caller and the means to respond to it. Confined to the event loop. [request] is released when the
 * response ends.
 */
internal class Caller(val request: FullHttpRequest, val receivedAt: Moment, private val writer: ResponseWriter) {
    /** Called at most once, if the caller closes its connection before the response is complete. */
    var onDisconnected: () -> Unit = {}

    /** Called when the caller can receive more bytes after [isWritable] was false. */
    var onWritable: () -> Unit = {}

    /** False while the caller receives the response more slowly than it is written. */
    val isWritable: Boolean get() = writer.isWritable

    /** Sends a complete response. Takes ownership of [body]. */
    fun respond(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) = writer.respond(status, headers, body)

    /** Sends the head of a chunked response, whose length is not known yet. */
    fun begin(status: HttpResponseStatus, headers: HttpHeaders) = writer.begin(status, headers)

    /** Sends bytes of the body of a response that was begun. Takes ownership of [bytes]. */
    fun write(bytes: ByteBuf) {
        append(bytes)
        flush()
    }

    /** Like [write], but nothing is sent until [flush] is called. */
    fun append(bytes: ByteBuf) = writer.append(bytes)

    /** Sends all that was appended as one chunk. */
    fun flush() = writer.flush()

    /** Completes a response that was begun. */
    fun finish() = writer.finish()

    /** Closes the connection, so that a response that was begun does not look complete. */
    fun cut() = writer.cut()
}

/** Writes the response to one request. Its functions are those of [Caller]. */
internal interface ResponseWriter {
    val isWritable: Boolean

    fun respond(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf)

    fun begin(status: HttpResponseStatus, headers: HttpHeaders)

    fun append(bytes: ByteBuf)

    fun flush()

    fun finish()

    fun cut()
}
