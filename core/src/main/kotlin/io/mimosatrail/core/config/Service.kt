package io.mimosatrail.core.config

import io.mimosatrail.core.id.ModelId
import io.mimosatrail.core.id.ServiceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A service that requests are routed to. */
@Serializable
sealed interface Service {
    val id: ServiceId

    /** True if the upstreams refuse orders with an outdated fencing number. */
    val checksFencing: Boolean
}

/** Runners that together serve one model of [layers] layers. */
@Serializable
@SerialName("pool")
data class ModelPool(
    override val id: ServiceId,
    val model: ModelId,
    val layers: Int,
    val version: String = "1",
    val adapters: List<String> = emptyList(),
    val preference: PoolPreference = PoolPreference.THROUGHPUT,
    val maxTokens: Int = 2_048,
    override val checksFencing: Boolean = true,
) : Service

/** A plain HTTP service; calls that match no rule of [idempotentCalls] run at most once. */
@Serializable
@SerialName("plain")
data class PlainService(
    override val id: ServiceId,
    val idempotentCalls: List<CallRule> = emptyList(),
    val slots: Int = 16,
    override val checksFencing: Boolean = false,
) : Service
