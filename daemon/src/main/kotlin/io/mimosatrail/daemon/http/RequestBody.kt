package io.mimosatrail.daemon.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import org.http4k.core.Request

/** Reads the whole body. Refuses a body of more than [limit] bytes. */
internal fun Request.readBody(limit: Int): Result<ByteArray, Refusal> {
    val declared = header("Content-Length")?.toLongOrNull() ?: 0
    if (declared > limit) return Err(tooLarge(limit))
    val bytes = body.stream.readNBytes(limit + 1)
    return if (bytes.size > limit) Err(tooLarge(limit)) else Ok(bytes)
}

private fun tooLarge(limit: Int) = notRun(RefusalReason.TOO_LARGE, Step.PARSE, "the body is over $limit bytes")
