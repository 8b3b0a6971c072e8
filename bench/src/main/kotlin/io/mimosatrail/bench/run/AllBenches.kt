package io.mimosatrail.bench.run

/** Every benchmark, in the order of the help page. */
internal val allBenches: List<Bench> = emptyList()
