package io.mimosatrail.bench.run

import io.mimosatrail.bench.capacity.capacityBench
import io.mimosatrail.bench.capacity.idleBench
import io.mimosatrail.bench.config.configBench
import io.mimosatrail.bench.journal.journalBench
import io.mimosatrail.bench.limits.limitsBench
import io.mimosatrail.bench.overload.overloadBench
import io.mimosatrail.bench.recovery.recoveryBench
import io.mimosatrail.bench.routing.routingBench
import io.mimosatrail.bench.throughput.throughputBench

/** Every benchmark, in the order of the help page. */
internal val allBenches: List<Bench> = listOf(
    throughputBench,
    routingBench,
    limitsBench,
    overloadBench,
    journalBench,
    configBench,
    recoveryBench,
    capacityBench,
    idleBench,
)
