package io.mimosatrail.core.calls

import io.mimosatrail.core.id.Epoch
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.WriterNonce
import io.mimosatrail.core.store.StoreKey

private const val NUMBER_DIGITS = 12

/** Keys of one service's journals, slot table and owners in the platform's store. */
class CallKeys(service: ServiceId) {
    private val journals = StoreKey("journal/$service")

    /** Prefix of the owners' registrations. Each owner has one key, which is deleted when its lease ends. */
    val owners = StoreKey("owners/$service/")

    /** Key of the [SlotTable]. */
    val table = StoreKey("slots/$service")

    /** Key of the owner registered under [nonce]. */
    fun owner(nonce: WriterNonce): StoreKey = StoreKey("$owners$nonce")

    /** Prefix of the records in the journal of [epoch]. */
    fun journal(epoch: Epoch): StoreKey = StoreKey("${journals / number(epoch.value)}/")

    /** Key of one record; zero-padded numbers make the key order that of the sequences. */
    fun record(epoch: Epoch, sequence: Long): StoreKey = StoreKey("${journal(epoch)}${number(sequence)}")

    /** The sequence of a key made by [CallKeys.record]. */
    fun sequenceOf(record: StoreKey): Long = record.value.substringAfterLast('/').toLong()

    private fun number(value: Long) = value.toString().padStart(NUMBER_DIGITS, '0')
}
