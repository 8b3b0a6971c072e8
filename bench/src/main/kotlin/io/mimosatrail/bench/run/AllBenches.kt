package io.mimosatrail.bench.run

import io.mimosatrail.bench.capacity.capacityBench
import io.mimosatrail.bench.config.configBench
import io.mimosatrail.bench.journal.journalBench
import io.mimosatrail.bench.recovery.recoveryBench
import io.mimosatrail.bench.routing.routingBench
import io.mimosatrail.bench.throughput.throughputBench

/** Every benchmark, in the order of the help page. */
internal val allBenches: List<Bench> = listOf(
    throughputBench,
    routingBench,
    journalBench,
    recoveryBench,
    configBench,
    capacityBench,
)
