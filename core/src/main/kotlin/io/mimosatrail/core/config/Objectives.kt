package io.mimosatrail.core.config

import kotlinx.serialization.Serializable

/** Service levels of a workspace: the [ratio] of requests, from 0 to 1, that must meet each bound. */
@Serializable
data class Objectives(val ratio: Double = 0.95, val firstTokenMillis: Long = 970, val interTokenMillis: Long = 43)
