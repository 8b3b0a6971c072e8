package io.mimosatrail.daemon.sidecar.stage

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getError
import io.mimosatrail.core.pipeline.StageResult
import io.mimosatrail.core.pipeline.StageWork
import io.mimosatrail.core.pipeline.toTokenIds
import io.mimosatrail.core.time.Clock
import io.mimosatrail.upstream.EngineClient
import io.mimosatrail.upstream.KvState
import io.mimosatrail.upstream.RunItem
import io.mimosatrail.upstream.RunResult
import io.mimosatrail.upstream.UpstreamError
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import java.util.PriorityQueue

private const val OUTSTANDING_POSTS = 2
private const val MAX_BATCH_ITEMS = 64
private const val MEAN_WEIGHT = 0.1

/**
 * Waiting work of one kind for an engine, posted in batches by priority then arrival.
 *
 * Work that waits while posts are outstanding joins the next post. [done] hears of every result.
 */
internal class EngineQueue(
    private val scope: CoroutineScope,
    private val engine: EngineClient,
    private val clock: Clock,
    private val done: (StageWork, StageResult) -> Unit,
) {
    private class Waiting(val work: StageWork, val number: Long)

    private val queue = PriorityQueue(compareBy<Waiting> { it.work.priority }.thenBy { it.number })
    private var numbers = 0L
    private var posts = 0

    /** Recent mean time of one post in microseconds. */
    @Volatile
    var meanMicros = 0L
        private set

    /** Work not yet posted. */
    val waiting: Int @Synchronized get() = queue.size

    fun add(work: StageWork) {
        synchronized(this) { queue += Waiting(work, numbers++) }
        startPost()
    }

    private fun startPost() {
        val batch = takeBatch()
        if (batch.isNotEmpty()) scope.launch { post(batch) }
    }

    @Synchronized
    private fun takeBatch(): List<StageWork> {
        if (posts >= OUTSTANDING_POSTS) return emptyList()
        val batch = generateSequence { queue.poll() }.take(MAX_BATCH_ITEMS).map { it.work }.toList()
        if (batch.isNotEmpty()) posts++
        return batch
    }

    private suspend fun post(batch: List<StageWork>) {
        val started = clock()
        try {
            run(batch)
        } finally {
            val micros = (clock() - started).inWholeMicroseconds
            meanMicros = if (meanMicros == 0L) micros else (meanMicros + (micros - meanMicros) * MEAN_WEIGHT).toLong()
            synchronized(this) { posts-- }
        }
        startPost()
    }

    private suspend fun run(batch: List<StageWork>) {
        val ready = batch.filter { import(it) }
        if (ready.isEmpty()) return
        engine.run(ready.map { it.toItem() }).fold(
            { results -> ready.zip(results).forEach { (work, result) -> done(work, result.toStageResult()) } },
            { error -> ready.forEach { done(it, error.toStageResult()) } },
        )
    }

    private suspend fun import(work: StageWork): Boolean {
        val snapshot = work.snapshot ?: return true
        val imported: Result<Unit, UpstreamError> =
            engine.importKv(work.sequence, KvState(snapshot.positions, snapshot.state))
        val error = imported.getError() ?: return true
        done(work, error.toStageResult())
        return false
    }

    private fun StageWork.toItem() = RunItem(
        sequence,
        position,
        count,
        tokens = if (firstStage) input.toTokenIds() else null,
        activations = if (firstStage) null else input,
        priority = priority,
    )

    private fun RunResult.toStageResult(): StageResult {
        val error = error
        val activations = activations
        val token = token
        return when {
            error != null -> StageResult.Failed("engine: ${error.code}", notRun = true)
            token != null -> StageResult.Token(token)
            activations != null -> StageResult.Activations(activations)
            else -> StageResult.Failed("engine: empty result", notRun = false)
        }
    }

    private fun UpstreamError.toStageResult() =
        StageResult.Failed("engine: $detail", notRun = this is UpstreamError.NotRun)
}
