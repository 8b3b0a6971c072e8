package io.mimosatrail.core.registry

import kotlinx.serialization.Serializable

/** What an entry reports of its last listing of the registry: its [digest] and how long ago it was requested. */
@Serializable
data class ListingReport(val digest: ListingDigest, val ageMillis: Long)
