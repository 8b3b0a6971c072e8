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
private val LOSS_DETECTION_TIME: Duration = 200.milliseconds

/** A caller's request with all attempts. It ends with the last token, a refusal or a loss after the first token. */
internal class GatedRequest(private val run: GatedRun, private val number: Int) {
    private val loop = run.loop
    private val arrival = loop.now
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

    private fun refuse() = run.record.onRefused(loop.now - arrival)

    private fun onFailed(instance: InstanceId, reason: RefusalReason) {
        failed += instance
        if (reason == RefusalReason.PEER_LOST) {
            entry.table.onLost(instance, loop.now)
        } else {
            entry.table.onLoad(instance, run.fleet.byId.getValue(instance).load(), loop.now)
            entry.table.onRefused(instance, reason, loop.now)
        }
        val refusal = Refusal(Outcome.NOT_RUN, reason, Step.STAGE, instance, "refused")
        when (val decision = retries.decide(FailedAttempt(attempts, refusal, true, arrival + START_WITHIN), loop.now)) {
            is RetryDecision.Retry -> loop.after(decision.after, ::attempt)
            RetryDecision.Stop -> refuse()
        }
    }

    private inner class Attempt(private val key: RequestId) {
        private val gates = mutableListOf<GateModel>()
        private lateinit var stream: StreamModel
        private var deliveredTokens = 0

        fun open(chain: Chain) {
            stream = StreamModel(run.fleet, entry, chain, size, StreamListener(::enter, ::onToken, ::leave))
            stream.open()
        }

        private fun enter(runner: RunnerModel, proceed: () -> Unit) {
            if (!runner.isAlive) return onCrash(runner)
            runner.crashListeners += { onCrash(runner) }
            val gate = run.gates.getValue(runner.id)
            gates += gate
            val workspace = WorkspaceId("w${number % WORKSPACES}")
            val work = QueuedWork(key, workspace, 10, arrival + START_WITHIN, expires = arrival + DEADLINE)
            gate.offer(work, proceed) { reason ->
                loop.after(stream.latencyToEntry(runner)) { fail(runner.id, reason) }
            }
        }

        private fun onCrash(runner: RunnerModel) = loop.after(LOSS_DETECTION_TIME) {
            fail(runner.id, RefusalReason.PEER_LOST)
        }

        private fun onToken(index: Int) {
            if (index == 0) run.record.onFirstToken(loop.now - arrival)
            deliveredTokens++
            run.record.tokens++
            if (deliveredTokens == size.outputTokens) run.record.finished++
        }

        private fun fail(instance: InstanceId, reason: RefusalReason) {
            if (!stream.isOpen) return
            stream.close()
            leave()
            if (deliveredTokens > 0) run.record.interrupted++ else onFailed(instance, reason)
        }

        private fun leave() = gates.forEach { it.onEnded(key) }
    }
}
