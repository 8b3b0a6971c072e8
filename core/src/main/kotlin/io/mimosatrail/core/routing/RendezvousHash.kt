package io.mimosatrail.core.routing

private const val FNV_OFFSET = -3_750_763_034_362_895_579L
private const val FNV_PRIME = 1_099_511_628_211L

/** Weight of [candidate] for [key] in rendezvous hashing; the same in every process. */
fun rendezvousWeight(key: String, candidate: String): Long {
    var hash = FNV_OFFSET
    for (char in key) hash = (hash xor char.code.toLong()) * FNV_PRIME
    hash = (hash xor 0) * FNV_PRIME
    for (char in candidate) hash = (hash xor char.code.toLong()) * FNV_PRIME
    return mix(hash)
}

/**
 * The [count] members of [candidates] with the highest weights for [key]; all if there are not more. The result changes
 * by at most one member when a candidate joins or leaves.
 */
fun <T> rendezvousSubset(key: String, candidates: List<T>, count: Int, name: (T) -> String): List<T> {
    if (candidates.size <= count) return candidates
    return candidates.sortedByDescending { rendezvousWeight(key, name(it)) }.take(count)
}

/** Finalizer of SplitMix64. */
private fun mix(hash: Long): Long {
    var z = hash
    z = (z xor (z ushr 30)) * -4_658_895_280_553_007_687L
    z = (z xor (z ushr 27)) * -7_723_592_293_110_705_685L
    return z xor (z ushr 31)
}
