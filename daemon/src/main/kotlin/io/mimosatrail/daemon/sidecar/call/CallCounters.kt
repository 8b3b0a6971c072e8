package io.mimosatrail.daemon.sidecar.call

import io.micrometer.core.instrument.MeterRegistry
import io.mimosatrail.core.calls.CallInvariant
import java.util.concurrent.atomic.AtomicInteger

/** Metrics of the calls at one sidecar. */
internal class CallCounters(private val meters: MeterRegistry) {
    /** Number of calls sent to the upstream and not answered yet. */
    val running = AtomicInteger()

    /** Number of calls that this sidecar has not answered yet, including the [running] ones. */
    val pending = AtomicInteger()

    init {
        meters.gauge("mimosatrail.calls.running", running)
        meters.gauge("mimosatrail.calls.waiting", pending)
    }

    fun onJournalWrite() = meters.counter("mimosatrail.calls.journal.writes").increment()

    fun onEpochLost() = meters.counter("mimosatrail.calls.epochs.lost").increment()

    fun onViolation(invariant: CallInvariant) =
        meters.counter("mimosatrail.invariant.violations", "invariant", invariant.name).increment()
}
