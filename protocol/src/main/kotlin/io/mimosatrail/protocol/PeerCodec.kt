package io.mimosatrail.protocol

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Encodes envelopes as CBOR and decodes them. */
@OptIn(ExperimentalSerializationApi::class)
object PeerCodec {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
        alwaysUseByteString = true
    }

    fun encode(envelope: Envelope): ByteArray = cbor.encodeToByteArray(envelope)

    /** Decodes one envelope. The error describes why [bytes] are invalid. */
    fun decode(bytes: ByteArray): Result<Envelope, String> = try {
        Ok(cbor.decodeFromByteArray<Envelope>(bytes))
    } catch (e: SerializationException) {
        Err("not a valid envelope: ${e.message}")
    } catch (e: IllegalArgumentException) {
        Err("not a valid envelope: ${e.message}")
    } catch (e: IndexOutOfBoundsException) {
        Err("truncated envelope: ${e.message}")
    }
}
