package io.mimosatrail.bench.run

import io.mimosatrail.bench.journal.journalBench

/** Every benchmark, in the order of the help page. */
internal val allBenches: List<Bench> = listOf(
    journalBench,
)
