package io.mimosatrail.gateway.net

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes the answers that arrive over one connection, one at a time.
 *
 * Netty's codec for clients pairs each answer, interim ones included, with the next request that was sent. This one is
 * told the [method] of the only request in flight. A head is malformed unless its status line is one of HTTP/1 with a
 * status from 100 to 599; Netty's codec accepts any number.
 */
internal class AnswerDecoder :
    HttpResponseDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES),
    ) {
    /** Method of the request in flight. */
    var method: HttpMethod = HttpMethod.GET

    /** True if the answer whose head was decoded last has no body, whatever its headers say. */
    var isBodiless = false
        private set

    /** Bytes that were received and that no message contains yet. */
    val bufferedBytes: Int get() = actualReadableBytes()

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val (version, status) = initialLine
        require(validVersion.matches(version) && validStatus.matches(status)) { "no status line: $version $status" }
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        isBodiless = method == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
        return isBodiless
    }

    private companion object {
        const val MAX_LINE_BYTES = 8 * 1024

        /** Heads of upstreams have a few hundred bytes; the shortest fields take some thirty times their bytes here. */
        const val MAX_HEADER_BYTES = 16 * 1024
        const val MAX_CHUNK_BYTES = 64 * 1024
    }
}

private val validVersion = Regex("""HTTP/1\.\d""")
private val validStatus = Regex("""[1-5]\d\d""")

private const val PROTOCOL_VERSION = "HTTP/1."

/** A protocol version, a space and a status code. */
private val statusLine = Regex("""HTTP/1\.\d \d{3}""")

/** True if the head contains the status line of another answer: bytes that end within a head came before it. */
internal fun HttpResponse.isSpliced(): Boolean = hasStatusLine(status().reasonPhrase()) ||
    headers().any { (name, value) -> hasStatusLine(name) || hasStatusLine(value) }

private fun hasStatusLine(text: String): Boolean = PROTOCOL_VERSION in text && statusLine.containsMatchIn(text)
