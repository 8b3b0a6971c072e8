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

private const val MAX_OUTSTANDING_POSTS = 2
private const val MAX_BATCH_ITEMS = 64

/** Weight of the newest post in the moving mean of post times. */
private const val MEAN_WEIGHT = 0.1

/**
 * Queue of work of one kind for an engine. It is posted in batches, ordered by priority and then by arrival.
 *
 * At most [MAX_OUTSTANDING_POSTS] posts run at once; work added meanwhile joins the next post. [onResult] is called
 * with the result of each item of work.
 */
internal class EngineQueue(
    private val scope: CoroutineScope,
    private val engine: EngineClient,
    private val clock: Clock,
    private val onResult: (StageWork, StageResult) -> Unit,
) {
    private class QueuedWork(val work: StageWork, val arrival: Long)

    private val queue = PriorityQueue(compareBy<QueuedWork> { it.work.priority }.thenBy { it.arrival })
    private var nextArrival = 0L
    private var outstandingPosts = 0

    /** Moving mean of the time of one post, in microseconds; 0 before the first post. */
    @Volatile
    var meanMicros = 0L
        private set

    /** Number of items not yet posted. */
    val waiting: Int @Synchronized get() = queue.size

    fun add(work: StageWork) {
        synchronized(this) { queue += QueuedWork(work, nextArrival++) }
        startPost()
    }

    private fun startPost() {
        val batch = takeBatch()
        if (batch.isNotEmpty()) scope.launch { post(batch) }
    }

    @Synchronized
    private fun takeBatch(): List<StageWork> {
        if (outstandingPosts >= MAX_OUTSTANDING_POSTS) return emptyList()
        val batch = generateSequence { queue.poll() }.take(MAX_BATCH_ITEMS).map { it.work }.toList()
        if (batch.isNotEmpty()) outstandingPosts++
        return batch
    }

    private suspend fun post(batch: List<StageWork>) {
        val started = clock()
        try {
            run(batch)
        } finally {
            val micros = (clock() - started).inWholeMicroseconds
            meanMicros = if (meanMicros == 0L) micros else (meanMicros + (micros - meanMicros) * MEAN_WEIGHT).toLong()
            synchronized(this) { outstandingPosts-- }
        }
        startPost()
    }

    private suspend fun run(batch: List<StageWork>) {
        val runnable = batch.filter { importSnapshot(it) }
        if (runnable.isEmpty()) return
        engine.run(runnable.map { it.toItem() }).fold(
            { results -> runnable.zip(results).forEach { (work, result) -> onResult(work, result.toStageResult()) } },
            { error -> runnable.forEach { onResult(it, error.toStageResult()) } },
        )
    }

    /** Imports the snapshot of [work], if it has one. If that fails, reports the error and returns false. */
    private suspend fun importSnapshot(work: StageWork): Boolean {
        val snapshot = work.snapshot ?: return true
        val imported: Result<Unit, UpstreamError> =
            engine.importKv(work.sequence, KvState(snapshot.positions, snapshot.state))
        val error = imported.getError() ?: return true
        onResult(work, error.toStageResult())
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
