package io.mimosatrail.core.calls

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Encodes journal records and slot tables as CBOR. Decoding returns null for bytes that are not valid. */
@OptIn(ExperimentalSerializationApi::class)
object CallCodec {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        alwaysUseByteString = true
    }

    fun encode(record: JournalRecord): ByteArray = cbor.encodeToByteArray(record)

    fun encode(table: SlotTable): ByteArray = cbor.encodeToByteArray(table)

    fun record(bytes: ByteArray): JournalRecord? = orNull { cbor.decodeFromByteArray<JournalRecord>(bytes) }

    fun table(bytes: ByteArray): SlotTable? = orNull { cbor.decodeFromByteArray<SlotTable>(bytes) }

    private inline fun <T> orNull(decode: () -> T): T? = try {
        decode()
    } catch (e: IllegalArgumentException) {
        null
    } catch (e: IndexOutOfBoundsException) {
        null
    }
}
