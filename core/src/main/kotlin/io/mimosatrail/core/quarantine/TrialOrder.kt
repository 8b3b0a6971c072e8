package io.mimosatrail.core.quarantine

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestFingerprint

/**
 * The place of the entry [self] among [entries] in the order in which they send [request] while it is on trial, from 0.
 * It differs from request to request, and all entries that know each other agree on it.
 */
fun trialPlace(self: InstanceId, entries: Set<InstanceId>, request: RequestFingerprint): Int {
    val own = trialKey(self, request)
    return entries.count { it != self && trialKey(it, request) < own }
}

private fun trialKey(entry: InstanceId, request: RequestFingerprint): String {
    val hash = (entry.value + request.value).hashCode() * MULTIPLIER
    return "%08x".format(hash) + entry.value
}

/** Spreads ids that differ in their last character only. */
private const val MULTIPLIER = -1_640_531_527
