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

/** Format of everything that this version keeps in the store. */
const val RECORD_FORMAT: Int = 1

/** Largest encoded value that is written to the store, in bytes. */
const val MAX_VALUE_BYTES: Int = 1_000_000

private const val MAX_DECODED_BYTES = 32 * 1024 * 1024

/** Why a stored value could not be used. */
sealed interface RecordError {
    /** Written by a later version of the software. */
    data class FutureFormat(val format: Int) : RecordError

    /** Not readable at all. */
    data class Corrupt(val detail: String) : RecordError
}

/** Turns records into the compressed JSON that the store and the peers carry, and back. */
object RecordCodec {
    private val strict = Json
    private val lenient = Json { ignoreUnknownKeys = true }

    fun encode(record: ConfigRecord): ByteArray = encode(ConfigRecord.serializer(), record)

    fun decode(bytes: ByteArray): Result<ConfigRecord, RecordError> = decode(ConfigRecord.serializer(), bytes)

    internal fun <T> encode(serializer: KSerializer<T>, content: T): ByteArray {
        val text = strict.encodeToString(Formatted.serializer(serializer), Formatted(RECORD_FORMAT, content))
        val out = ByteArrayOutputStream()
        GZIPOutputStream(out).use { it.write(text.encodeToByteArray()) }
        return out.toByteArray()
    }

    internal fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): Result<T, RecordError> = try {
        val text = inflate(bytes)
        val format = lenient.decodeFromString(FormatOnly.serializer(), text).format
        when {
            format > RECORD_FORMAT -> Err(RecordError.FutureFormat(format))
            else -> Ok(strict.decodeFromString(Formatted.serializer(serializer), text).content)
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

@Serializable
private class FormatOnly(val format: Int)

@Serializable
private class Formatted<T>(val format: Int, val content: T)
