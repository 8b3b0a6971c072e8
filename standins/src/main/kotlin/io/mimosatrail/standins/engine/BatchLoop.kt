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

/** One item in the queue of an engine. */
internal class PendingItem(val item: ItemBody, val inputs: LongArray, val holding: Holding, val number: Long) {
    val result = CompletableFuture<ResultBody>()
}

/** Runs queued items in batches, the lowest priority number first; one step takes the time of [EngineTiming]. */
internal class BatchLoop(
    private val settings: EngineSettings,
    private val faults: FaultSwitch<EngineFaults>,
    private val engine: EngineCore,
) {
    private val queue =
        PriorityBlockingQueue(64, compareBy<PendingItem> { it.item.priority }.thenBy { it.number })
    private val numbers = AtomicLong()

    @Volatile
    private var stopped = false

    @Volatile
    var running = 0
        private set

    val waiting: Int get() = queue.size

    fun start(name: String) {
        thread(name = name, isDaemon = true) { loop() }
    }

    fun stop() {
        stopped = true
    }

    fun submit(item: ItemBody, inputs: LongArray, holding: Holding): CompletableFuture<ResultBody> {
        val pending = PendingItem(item, inputs, holding, numbers.incrementAndGet())
        queue.put(pending)
        return pending.result
    }

    private fun loop() {
        while (!stopped) {
            val first = queue.poll(POLL_MILLIS, TimeUnit.MILLISECONDS) ?: continue
            val batch = mutableListOf(first)
            queue.drainTo(batch, settings.maxBatch - 1)
            blockWhile { faults.current.frozen && !stopped }
            runBatch(batch)
        }
    }

    private fun runBatch(batch: List<PendingItem>) {
        running = batch.size
        val positions = batch.sumOf { engine.positionsToCompute(it) }
        val nanos = settings.timing.stepNanos(engine.layerCount, positions) * faults.current.slowFactor
        pause(nanos.toLong())
        batch.forEach { it.result.complete(engine.runNow(it)) }
        running = 0
    }

    private fun pause(nanos: Long) {
        val end = System.nanoTime() + nanos
        var left = nanos
        while (left > 0 && !stopped) {
            LockSupport.parkNanos(left)
            left = end - System.nanoTime()
        }
    }
}
