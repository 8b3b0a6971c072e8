package io.mimosatrail.bench.capacity

import io.mimosatrail.bench.run.Bench
import io.mimosatrail.bench.run.Figure
import io.mimosatrail.logging.LogFormat
import io.mimosatrail.logging.LogLevel
import io.mimosatrail.logging.setUpLogging

/** Costs per unit of size, from which docs/CAPACITY.md computes each role's cost at the system's design size. */
internal val capacityBench =
    Bench("capacity", "cost of each role against its sizes, as slopes with their fit") { options ->
        setUpLogging(LogFormat.TEXT, LogLevel.ERROR)
        val series = frameSeries(options.quick) +
            streamSeries() +
            directorySeries(options.quick, options.seed) +
            configurationSeries(options.quick) +
            listSeries() +
            journalSeries(options.quick) +
            linkSeries(options.quick)
        val slopes = series.flatMap { it.measure(options.seed) }
        slopes + Figure("capacity", "describe exchange", "bytes", describeBytes(), seed = options.seed)
    }
