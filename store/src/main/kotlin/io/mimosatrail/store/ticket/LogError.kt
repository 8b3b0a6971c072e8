package io.mimosatrail.store.ticket

import io.mimosatrail.core.id.ConfigRevision

/** Reason why the configuration log could not be read to its end. */
sealed interface LogError {
    /** The store did not return the requested values. */
    data class Unavailable(val detail: String) : LogError

    /** The record after revision [after], or a value of the snapshot, could not be decoded. */
    data class Unreadable(val after: ConfigRevision, val error: RecordError) : LogError

    /** The record after revision [after], or a shard of the snapshot, is missing from the store. */
    data class Gap(val after: ConfigRevision) : LogError
}
