package io.mimosatrail.daemon.sidecar.call

import io.micrometer.core.instrument.MeterRegistry
import io.mimosatrail.core.calls.CallInvariant
import java.util.concurrent.atomic.AtomicInteger

/** Meters of the calls at one sidecar. */
internal class CallCounters(private val meters: MeterRegistry) {
    /** Calls that are at the upstream now. */
    val running = AtomicInteger()

    /** Calls that wait at this sidecar, the running ones included. */
    val waiting = AtomicInteger()

    init {
        meters.gauge("mimosatrail.calls.running", running)
        meters.gauge("mimosatrail.calls.waiting", waiting)
    }

    fun onJournalWrite() = meters.counter("mimosatrail.calls.journal.writes").increment()

    fun onEpochLost() = meters.counter("mimosatrail.calls.epochs.lost").increment()

    fun onViolated(invariant: CallInvariant) =
        meters.counter("mimosatrail.invariant.violations", "invariant", invariant.name).increment()
}
