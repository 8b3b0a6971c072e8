package io.mimosatrail.gateway.gossip

import io.mimosatrail.core.balance.EngineLoad
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.id.StoreTimeline
import io.mimosatrail.core.limits.RateReport
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.quarantine.QuarantineReport
import io.mimosatrail.core.registry.ListingReport
import io.mimosatrail.core.store.StorePosition
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Message from one entry to another: its [loads], the engines that it has recently [detected to be down][detectedDown],
 * and its [observations] of upstreams that the registry does not show yet. [dutyTerm] is the term of the placement duty
 * in the store's timeline [dutyTimeline] if the sender holds it, else null. [quarantine] is what it observed of content
 * under which upstreams crash, and [limits] are the limits that upstreams announced. [configuration] is the version of
 * the configuration in force at the sender, and [listing] what it last read of the registry if it reports that. [number]
 * increases with each message and restarts with the process.
 */
@Serializable
internal data class LoadMessage(
    val from: InstanceId,
    val number: Long,
    val loads: List<EngineLoad>,
    @SerialName("down") val detectedDown: List<InstanceId>,
    @SerialName("seen") val observations: List<ObservationMessage> = emptyList(),
    @SerialName("duty") val dutyTerm: StoreRevision? = null,
    @SerialName("timeline") val dutyTimeline: StoreTimeline = StoreTimeline.UNKNOWN,
    val quarantine: QuarantineReport = QuarantineReport(),
    val limits: List<RateReport> = emptyList(),
    val configuration: Long? = null,
    val listing: ListingReport? = null,
) {
    /** Where the duty's key was created if the sender holds the placement duty, else null. */
    val dutyPosition: StorePosition? get() = dutyTerm?.let { StorePosition(dutyTimeline, it) }
}

/**
 * State of [upstream] as the sender observed it: the [layers] that it serves, null if none, and whether it is draining.
 * Holds for the process that started at [startedMillis], in Unix milliseconds. [isLeaving] is true if the upstream
 * itself announced that it is leaving, which no later observation takes back. [ageMillis] is the time since then.
 */
@Serializable
internal data class ObservationMessage(
    @SerialName("engine") val upstream: InstanceId,
    val startedMillis: Long,
    val layers: LayerRange?,
    val isDraining: Boolean,
    @SerialName("leaving") val isLeaving: Boolean = false,
    @SerialName("age") val ageMillis: Long = 0,
)
