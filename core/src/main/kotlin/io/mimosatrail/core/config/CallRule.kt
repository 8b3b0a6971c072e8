package io.mimosatrail.core.config

import kotlinx.serialization.Serializable

/** Calls with [method] whose path starts with [pathPrefix]. */
@Serializable
data class CallRule(val method: String, val pathPrefix: String) {
    fun matches(method: String, path: String): Boolean = method == this.method && path.startsWith(pathPrefix)
}
