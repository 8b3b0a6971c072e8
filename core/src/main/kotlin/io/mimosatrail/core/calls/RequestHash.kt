package io.mimosatrail.core.calls

import kotlinx.serialization.Serializable
import java.security.MessageDigest

/** SHA-256 digest of a call in lower-case hex. Shows whether a repeated key comes with the same call. */
@Serializable
@JvmInline
value class RequestHash(val value: String) {
    override fun toString(): String = value

    companion object {
        /** Digest of [method], [path] and [body]; headers are excluded, since proxies change them. */
        fun of(method: String, path: String, body: ByteArray): RequestHash {
            val digest = MessageDigest.getInstance("SHA-256")
            digest.update("${method.length}:$method${path.length}:$path".toByteArray())
            digest.update(body)
            return RequestHash(digest.digest().joinToString("") { "%02x".format(it) })
        }
    }
}
