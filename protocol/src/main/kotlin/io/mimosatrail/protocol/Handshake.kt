package io.mimosatrail.protocol

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.InstanceId
import java.security.SecureRandom

/** Version of the protocol between processes; peers of another version are refused. */
const val PROTOCOL_VERSION = 1

private const val NONCE_BYTES = 16

/** Proves the shared secret in both directions before any other message passes. */
internal class Handshake(private val settings: PeerSettings) {
    private val proof = HelloProof(settings.secrets)
    private val random = SecureRandom()

    /** Client side; answers the id of the peer. */
    suspend fun connect(channel: FrameChannel): Result<InstanceId, String> {
        val nonce = newNonce()
        channel.write(hello(nonce))
        val theirs = readHello(channel).getOrElse { return Err(it) }
        if (!proof.accepts(
                theirs.instance,
                nonce,
                theirs.proof,
            )
        ) {
            return Err("peer ${theirs.instance} has another secret")
        }
        channel.write(hello(nonce, proof.prove(settings.instance.value, theirs.nonce)))
        return Ok(InstanceId(theirs.instance))
    }

    /** Server side; answers the id of the peer. */
    suspend fun accept(channel: FrameChannel): Result<InstanceId, String> {
        val first = readHello(channel).getOrElse { return Err(it) }
        val nonce = newNonce()
        channel.write(hello(nonce, proof.prove(settings.instance.value, first.nonce)))
        val second = readHello(channel).getOrElse { return Err(it) }
        if (!proof.accepts(first.instance, nonce, second.proof)) return Err("peer ${first.instance} has another secret")
        return Ok(InstanceId(first.instance))
    }

    private suspend fun readHello(channel: FrameChannel): Result<Hello, String> {
        val envelope = channel.read().getOrElse { return Err(it) }
        val hello = envelope.message as? Hello ?: return Err("expected a hello, got another message")
        if (hello.version != PROTOCOL_VERSION) return Err("peer speaks version ${hello.version}, not $PROTOCOL_VERSION")
        return Ok(hello)
    }

    private fun hello(nonce: ByteArray, proof: ByteArray = ByteArray(0)) =
        Envelope(Hello(settings.instance.value, PROTOCOL_VERSION, nonce, proof), ConfigRevision(0))

    private fun newNonce() = ByteArray(NONCE_BYTES).also(random::nextBytes)
}
