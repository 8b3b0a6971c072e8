package io.mimosatrail.core.calls

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Turns the records of this package into CBOR bytes and back; null for bytes that are no such record. */
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
