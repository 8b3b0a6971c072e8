package io.mimosatrail.upstream

import com.github.michaelbull.result.Result

/** Client of one plain service. */
interface PlainClient {
    /** Sends [request] at most once. A response with any status counts as success. */
    suspend fun call(request: PlainRequest): Result<PlainResponse, UpstreamError>
}

/** An HTTP request to a plain service. */
class PlainRequest(
    val method: String,
    val path: String,
    val headers: List<HttpHeader>,
    val body: ByteArray,
    val timeoutMillis: Long,
)

/** The HTTP response of a plain service. */
class PlainResponse(val status: Int, val headers: List<HttpHeader>, val body: ByteArray)

/** A header of a [PlainRequest] or [PlainResponse]. */
data class HttpHeader(val name: String, val value: String)
