package io.mimosatrail.protocol

import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

private const val ALGORITHM = "HmacSHA256"

/** Proves and checks knowledge of the shared secret over the nonce of the other side. */
internal class HelloProof(private val secrets: List<String>) {
    fun prove(instance: String, peerNonce: ByteArray): ByteArray = sign(secrets.first(), instance, peerNonce)

    fun accepts(instance: String, nonce: ByteArray, proof: ByteArray): Boolean =
        secrets.any { MessageDigest.isEqual(sign(it, instance, nonce), proof) }

    private fun sign(secret: String, instance: String, nonce: ByteArray): ByteArray {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(SecretKeySpec(secret.toByteArray(), ALGORITHM))
        mac.update(instance.toByteArray())
        mac.update(0)
        return mac.doFinal(nonce)
    }
}
