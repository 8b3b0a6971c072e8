package io.mimosatrail.upstream

import com.github.michaelbull.result.Result

/** Calls of one plain service. */
interface PlainClient {
    suspend fun call(request: PlainRequest): Result<PlainResponse, UpstreamError>
}

/** One HTTP call of a plain service. */
class PlainRequest(
    val method: String,
    val path: String,
    val headers: List<HttpHeader>,
    val body: ByteArray,
    val timeoutMillis: Long,
)

/** The answer of a plain service. */
class PlainResponse(val status: Int, val headers: List<HttpHeader>, val body: ByteArray)

/** One header of a call. */
data class HttpHeader(val name: String, val value: String)
