package io.mimosatrail.protocol

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.InstanceId
import java.security.SecureRandom

/** Version of the protocol between processes. Peers with another version are rejected. */
const val PROTOCOL_VERSION = 1

private const val NONCE_BYTES = 16

/** Mutual authentication with a shared secret, which precedes all other messages of a connection. */
internal class Handshake(private val settings: PeerSettings) {
    private val proof = HelloProof(settings.secrets)
    private val random = SecureRandom()

    /** Client side. Returns the id of the peer, or why the handshake failed. */
    suspend fun connect(channel: FrameChannel): Result<InstanceId, String> {
        val nonce = newNonce()
        channel.write(hello(nonce))
        val peerHello = readHello(channel).getOrElse { return Err(it) }
        if (!proof.accepts(peerHello.instance, nonce, peerHello.proof)) {
            return Err("peer ${peerHello.instance} has a wrong secret")
        }
        channel.write(hello(nonce, proof.prove(settings.instance.value, peerHello.nonce)))
        return Ok(InstanceId(peerHello.instance))
    }

    /** Server side. Returns the id of the peer, or why the handshake failed. */
    suspend fun accept(channel: FrameChannel): Result<InstanceId, String> {
        val first = readHello(channel).getOrElse { return Err(it) }
        val nonce = newNonce()
        channel.write(hello(nonce, proof.prove(settings.instance.value, first.nonce)))
        val second = readHello(channel).getOrElse { return Err(it) }
        if (!proof.accepts(first.instance, nonce, second.proof)) return Err("peer ${first.instance} has a wrong secret")
        return Ok(InstanceId(first.instance))
    }

    private suspend fun readHello(channel: FrameChannel): Result<Hello, String> {
        val envelope = channel.read().getOrElse { return Err(it) }
        val hello = envelope.message as? Hello ?: return Err("expected a hello message")
        if (hello.version != PROTOCOL_VERSION) return Err("peer uses version ${hello.version}, not $PROTOCOL_VERSION")
        return Ok(hello)
    }

    private fun hello(nonce: ByteArray, proof: ByteArray = ByteArray(0)) =
        Envelope(Hello(settings.instance.value, PROTOCOL_VERSION, nonce, proof), ConfigRevision(0))

    private fun newNonce() = ByteArray(NONCE_BYTES).also(random::nextBytes)
}
