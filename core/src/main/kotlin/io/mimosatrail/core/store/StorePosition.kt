package io.mimosatrail.core.store

import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.id.StoreTimeline

/** A revision of the store in one of its timelines. All positions of a later timeline are later. */
data class StorePosition(val timeline: StoreTimeline, val revision: StoreRevision) : Comparable<StorePosition> {
    override fun compareTo(other: StorePosition): Int = compareValuesBy(this, other, { it.timeline }, { it.revision })

    override fun toString(): String = "$timeline/$revision"
}
