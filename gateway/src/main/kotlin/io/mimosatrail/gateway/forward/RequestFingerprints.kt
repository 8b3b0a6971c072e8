package io.mimosatrail.gateway.forward

import io.mimosatrail.core.id.RequestFingerprint
import io.mimosatrail.core.id.WorkspaceId
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.Base64
import java.util.zip.CRC32
import java.util.zip.CRC32C
import java.util.zip.Checksum

/** Longer bodies are not digested in full, which would hold up the event loop. */
internal const val MAX_DIGESTED_BYTES = 64 * 1024

/** Enough that no two requests are taken for one by chance, and little to send to other entries. */
private const val FINGERPRINT_BYTES = 12

/**
 * Computes the fingerprint of [request], which the caller sent for [workspace]; null if no key is needed. It is the
 * same at all entries. Of a body longer than [MAX_DIGESTED_BYTES] it covers the beginning, the end and two checksums.
 */
internal fun fingerprintOf(workspace: WorkspaceId?, request: FullHttpRequest): RequestFingerprint {
    val digest = MessageDigest.getInstance("SHA-256")
    val host = request.headers()[HttpHeaderNames.HOST].orEmpty().lowercase()
    for (field in listOf(workspace?.value.orEmpty(), request.method().name(), host, request.uri())) {
        digest.updateWithLength(field.toByteArray())
    }
    digest.updateBody(request.content())
    val bytes = digest.digest().copyOf(FINGERPRINT_BYTES)
    return RequestFingerprint(Base64.getUrlEncoder().withoutPadding().encodeToString(bytes))
}

/** The length keeps two fields from being taken for two others with the same text in sum. */
private fun MessageDigest.updateWithLength(field: ByteArray) {
    update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(0, field.size))
    update(field)
}

private fun MessageDigest.updateBody(body: ByteBuf) {
    val length = body.readableBytes()
    if (length <= MAX_DIGESTED_BYTES) return body.nioBuffers().forEach { update(it) }
    val start = body.readerIndex()
    val half = MAX_DIGESTED_BYTES / 2
    body.nioBuffers(start, half).forEach { update(it) }
    body.nioBuffers(start + length - half, half).forEach { update(it) }
    val sums = ByteBuffer.allocate(Int.SIZE_BYTES + 2 * Long.SIZE_BYTES).putInt(length)
    sums.putLong(checksum(CRC32(), body)).putLong(checksum(CRC32C(), body)).flip()
    update(sums)
}

private fun checksum(sum: Checksum, body: ByteBuf): Long {
    body.nioBuffers().forEach { sum.update(it) }
    return sum.value
}
