package io.mimosatrail.store.ticket

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.mimosatrail.core.config.ConfigRecord
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** Format number of the values that this version of the software writes to the store. */
const val RECORD_FORMAT: Int = 1

/** Largest encoded value that is written to the store, in bytes. */
const val MAX_VALUE_BYTES: Int = 1_000_000

private const val MAX_DECODED_BYTES = 32 * 1024 * 1024

/** Reason why a stored value could not be decoded. */
sealed interface RecordError {
    /** A later version of the software wrote the value in [format], which this version does not know. */
    data class FutureFormat(val format: Int) : RecordError

    /** The value is not a valid encoding. */
    data class Corrupt(val detail: String) : RecordError
}

/** Encodes records as gzip-compressed JSON, for the store and for messages between processes, and decodes them. */
object RecordCodec {
    private val json = Json
    private val headerJson = Json { ignoreUnknownKeys = true }

    fun encode(record: ConfigRecord): ByteArray = encode(ConfigRecord.serializer(), record)

    fun decode(bytes: ByteArray): Result<ConfigRecord, RecordError> = decode(ConfigRecord.serializer(), bytes)

    internal fun <T> encode(serializer: KSerializer<T>, content: T): ByteArray {
        val text = json.encodeToString(Envelope.serializer(serializer), Envelope(RECORD_FORMAT, content))
        val out = ByteArrayOutputStream()
        GZIPOutputStream(out).use { it.write(text.encodeToByteArray()) }
        return out.toByteArray()
    }

    internal fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): Result<T, RecordError> = try {
        val text = inflate(bytes)
        val format = headerJson.decodeFromString(FormatHeader.serializer(), text).format
        when {
            format > RECORD_FORMAT -> Err(RecordError.FutureFormat(format))
            else -> Ok(json.decodeFromString(Envelope.serializer(serializer), text).content)
        }
    } catch (e: IllegalArgumentException) {
        Err(RecordError.Corrupt(e.message ?: "not readable"))
    } catch (e: IOException) {
        Err(RecordError.Corrupt("not readable: ${e.message}"))
    }

    private fun inflate(bytes: ByteArray): String {
        val inflated = GZIPInputStream(bytes.inputStream()).use { it.readNBytes(MAX_DECODED_BYTES) }
        require(inflated.size < MAX_DECODED_BYTES) { "more than $MAX_DECODED_BYTES bytes" }
        return inflated.decodeToString(throwOnInvalidSequence = true)
    }
}

/** Decoded first: a later format may differ in everything except [format]. */
@Serializable
private class FormatHeader(val format: Int)

@Serializable
private class Envelope<T>(val format: Int, val content: T)
