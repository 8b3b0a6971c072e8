package io.mimosatrail.store.ticket

import io.mimosatrail.core.id.ConfigRevision

/** Why the configuration log could not be read to its end. */
sealed interface LogError {
    /** The store did not answer. */
    data class Unavailable(val detail: String) : LogError

    /** The value that follows [after] can't be used. */
    data class Unreadable(val after: ConfigRevision, val error: RecordError) : LogError

    /** The revision that follows [after] is missing. */
    data class Gap(val after: ConfigRevision) : LogError
}
