package io.mimosatrail.core.calls

import io.mimosatrail.core.id.Epoch
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.WriterNonce
import io.mimosatrail.core.store.StoreKey

private const val NUMBER_DIGITS = 12

/** Where the claims of one service stand in the platform's store. */
class CallKeys(service: ServiceId) {
    private val journals = StoreKey("journal/$service")

    /** Keys of live owners, one each, under their leases. */
    val owners = StoreKey("owners/$service/")

    /** The [SlotTable]. */
    val table = StoreKey("slots/$service")

    fun owner(nonce: WriterNonce): StoreKey = StoreKey("$owners$nonce")

    fun journal(epoch: Epoch): StoreKey = StoreKey("${journals / number(epoch.value)}/")

    fun record(epoch: Epoch, sequence: Long): StoreKey = StoreKey("${journal(epoch)}${number(sequence)}")

    /** The sequence in a key of [record]. */
    fun sequenceOf(record: StoreKey): Long = record.value.substringAfterLast('/').toLong()

    private fun number(value: Long) = value.toString().padStart(NUMBER_DIGITS, '0')
}
