package io.mimosatrail.protocol

import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

private const val ALGORITHM = "HmacSHA256"

/**
 * Computes and verifies the proofs of the handshake. A proof is an HMAC, keyed with a shared secret, over the prover's
 * instance id and the nonce of its peer.
 */
internal class HelloProof(private val secrets: List<String>) {
    fun prove(instance: String, peerNonce: ByteArray): ByteArray = hmac(secrets.first(), instance, peerNonce)

    fun accepts(instance: String, nonce: ByteArray, proof: ByteArray): Boolean =
        secrets.any { MessageDigest.isEqual(hmac(it, instance, nonce), proof) }

    private fun hmac(secret: String, instance: String, nonce: ByteArray): ByteArray {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(SecretKeySpec(secret.toByteArray(), ALGORITHM))
        mac.update(instance.toByteArray())
        mac.update(0)
        return mac.doFinal(nonce)
    }
}
