package io.mimosatrail.bench.capacity

import java.lang.management.ManagementFactory

private const val NANOS_PER_MICRO = 1_000.0
private const val GC_RUNS = 3
private const val SETTLE_MILLIS = 20L

private val threads = ManagementFactory.getThreadMXBean()
private val process = ManagementFactory.getOperatingSystemMXBean() as com.sun.management.OperatingSystemMXBean

/** Processor time of this thread for one of [times] runs of [block] after a warm-up, in microseconds. */
internal inline fun threadMicros(times: Int, block: (Int) -> Unit): Double {
    repeat(times) { block(it) }
    val before = threadCpuNanos()
    repeat(times) { block(times + it) }
    return (threadCpuNanos() - before) / NANOS_PER_MICRO / times
}

/** Processor time that this thread has used, in nanoseconds. */
internal fun threadCpuNanos(): Long = threads.currentThreadCpuTime

/** Processor time that the whole process has used, in microseconds. */
internal fun processMicros(): Double = process.processCpuTime / NANOS_PER_MICRO

/** Heap retained by the object that [make] returns, in bytes. */
internal fun heapBytes(make: () -> Any): Double {
    val before = usedHeap()
    val retained = make()
    val after = usedHeap()
    // Uses the object after the second reading, so that it can't be collected earlier.
    check(retained.hashCode() != Int.MIN_VALUE || after >= 0)
    return (after - before).toDouble()
}

private fun usedHeap(): Long {
    repeat(GC_RUNS) {
        System.gc()
        Thread.sleep(SETTLE_MILLIS)
    }
    return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
}
