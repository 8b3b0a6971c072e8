package io.mimosatrail.bench.model

import io.mimosatrail.core.admission.QueuedWork
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.core.pipeline.Chain
import io.mimosatrail.core.retry.FailedAttempt
import io.mimosatrail.core.retry.RetryDecision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val WORKSPACES = 10
private val START_WITHIN: Duration = 670.milliseconds
private val DEADLINE: Duration = 10.seconds
private val LOSS_NOTICE: Duration = 200.milliseconds

/** One request of a caller, with all its attempts; it ends with its last token, a refusal or a cut. */
internal class GatedRequest(private val run: GatedRun, private val number: Int) {
    private val loop = run.loop
    private val arrived = loop.now
    private val entry = run.entries[number % run.entries.size]
    private val retries = run.retries[number % run.entries.size]
    private val size = StreamSize(run.random.nextInt(50, 400), run.random.nextInt(50, 150))
    private val failed = mutableSetOf<InstanceId>()
    private var attempts = 0

    fun start() {
        retries.onFirstAttempt()
        attempt()
    }

    private fun attempt() {
        attempts++
        val chain = entry.choose(size.promptTokens, failed) ?: return refuse()
        run.record.attempts++
        Attempt(RequestId("r$number/$attempts")).open(chain)
    }

    private fun refuse() = run.record.onRefused(loop.now - arrived)

    private fun onFailed(instance: InstanceId, reason: RefusalReason) {
        failed += instance
        if (reason == RefusalReason.PEER_LOST) {
            entry.table.onLost(instance, loop.now)
        } else {
            entry.table.onLoad(instance, run.fleet.byId.getValue(instance).load(), loop.now)
            entry.table.onRefused(instance, reason, loop.now)
        }
        val refusal = Refusal(Outcome.NOT_RUN, reason, Step.STAGE, instance, "refused")
        when (val decision = retries.decide(FailedAttempt(attempts, refusal, true, arrived + START_WITHIN), loop.now)) {
            is RetryDecision.Retry -> loop.after(decision.after, ::attempt)
            RetryDecision.Stop -> refuse()
        }
    }

    private inner class Attempt(private val key: RequestId) {
        private val entered = mutableListOf<GateModel>()
        private lateinit var stream: StreamModel
        private var delivered = 0

        fun open(chain: Chain) {
            stream = StreamModel(run.fleet, entry, chain, size, StreamListener(::enter, ::onToken, ::leave))
            stream.open()
        }

        private fun enter(runner: RunnerModel, proceed: () -> Unit) {
            if (!runner.isAlive) return onDeath(runner)
            runner.onDeath += { onDeath(runner) }
            val gate = run.gates.getValue(runner.id)
            entered += gate
            val workspace = WorkspaceId("w${number % WORKSPACES}")
            val work = QueuedWork(key, workspace, 10, arrived + START_WITHIN, expires = arrived + DEADLINE)
            gate.offer(work, proceed) { reason -> loop.after(stream.toEntry(runner)) { fail(runner.id, reason) } }
        }

        private fun onDeath(runner: RunnerModel) = loop.after(LOSS_NOTICE) { fail(runner.id, RefusalReason.PEER_LOST) }

        private fun onToken(index: Int) {
            if (index == 0) run.record.onFirstToken(loop.now - arrived)
            delivered++
            run.record.tokens++
            if (delivered == size.outputTokens) run.record.finished++
        }

        private fun fail(instance: InstanceId, reason: RefusalReason) {
            if (!stream.isOpen) return
            stream.close()
            leave()
            if (delivered > 0) run.record.cut++ else onFailed(instance, reason)
        }

        private fun leave() = entered.forEach { it.onEnded(key) }
    }
}
