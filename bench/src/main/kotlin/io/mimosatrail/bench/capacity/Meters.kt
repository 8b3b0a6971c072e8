package io.mimosatrail.bench.capacity

import java.lang.management.ManagementFactory

private const val NANOS_PER_MICRO = 1_000.0
private const val COLLECTIONS = 3
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

/** Heap that what [make] returns keeps alive, in bytes. */
internal fun heapBytes(make: () -> Any): Double {
    val before = usedHeap()
    val kept = make()
    val after = usedHeap()
    check(kept.hashCode() != Int.MIN_VALUE || after >= 0)
    return (after - before).toDouble()
}

private fun usedHeap(): Long {
    repeat(COLLECTIONS) {
        System.gc()
        Thread.sleep(SETTLE_MILLIS)
    }
    return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
}
