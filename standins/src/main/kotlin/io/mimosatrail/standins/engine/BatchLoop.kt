package io.mimosatrail.standins.engine

import io.mimosatrail.standins.faults.FaultSwitch
import io.mimosatrail.standins.faults.blockWhile
import java.util.concurrent.CompletableFuture
import java.util.concurrent.PriorityBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.LockSupport
import kotlin.concurrent.thread

private const val POLL_MILLIS = 50L

/** One queued item of an engine. [submissionNumber] is its place in the order of submission. */
internal class PendingItem(
    val item: ItemBody,
    val inputs: LongArray,
    val assignment: Assignment,
    val submissionNumber: Long,
) {
    val result = CompletableFuture<ResultBody>()
}

/**
 * Runs queued items in batches: lowest priority number first, items of equal priority in order of submission. A batch
 * takes the time given by [EngineTiming], multiplied by [EngineFaults.slowFactor].
 */
internal class BatchLoop(
    private val settings: EngineSettings,
    private val faults: FaultSwitch<EngineFaults>,
    private val engine: EngineCore,
) {
    private val queue =
        PriorityBlockingQueue(64, compareBy<PendingItem> { it.item.priority }.thenBy { it.submissionNumber })
    private val lastSubmissionNumber = AtomicLong()

    @Volatile
    private var isStopped = false

    /** Number of items in the batch that runs now. */
    @Volatile
    var running = 0
        private set

    /** Number of queued items. */
    val waiting: Int get() = queue.size

    fun start(name: String) {
        thread(name = name, isDaemon = true) { loop() }
    }

    fun stop() {
        isStopped = true
    }

    fun submit(item: ItemBody, inputs: LongArray, assignment: Assignment): CompletableFuture<ResultBody> {
        val pending = PendingItem(item, inputs, assignment, lastSubmissionNumber.incrementAndGet())
        queue.put(pending)
        return pending.result
    }

    private fun loop() {
        while (!isStopped) {
            val first = queue.poll(POLL_MILLIS, TimeUnit.MILLISECONDS) ?: continue
            val batch = mutableListOf(first)
            queue.drainTo(batch, settings.maxBatch - 1)
            blockWhile { faults.current.frozen && !isStopped }
            runBatch(batch)
        }
    }

    private fun runBatch(batch: List<PendingItem>) {
        running = batch.size
        val positions = batch.sumOf { engine.positionsToCompute(it) }
        val nanos = settings.timing.stepNanos(engine.layerCount, positions) * faults.current.slowFactor
        parkFor(nanos.toLong())
        batch.forEach { it.result.complete(engine.run(it)) }
        running = 0
    }

    private fun parkFor(nanos: Long) {
        val end = System.nanoTime() + nanos
        var remaining = nanos
        while (remaining > 0 && !isStopped) {
            LockSupport.parkNanos(remaining)
            remaining = end - System.nanoTime()
        }
    }
}
