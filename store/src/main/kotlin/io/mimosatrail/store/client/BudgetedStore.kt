package io.mimosatrail.store.client

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.systemClock
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlin.random.Random

private const val CALLS_METER = "mimosatrail.store.calls"

/**
 * Limits the calls to [call] by the rate limits and the circuit breaker of [budget], and counts them by kind and
 * outcome in [meters].
 *
 * The limits apply to all calls through the returned [StoreCall] together, so a process creates one and shares it. A
 * call that a rate limit or the breaker rejects is never sent; its reply is [StoreReply.NotDone].
 */
fun budgetedStore(
    call: StoreCall,
    budget: StoreBudget = StoreBudget(),
    meters: MeterRegistry = SimpleMeterRegistry(),
    clock: Clock = systemClock,
    random: Random = Random.Default,
): StoreCall = BudgetedStore(call, budget, meters, clock, random)::execute

private class BudgetedStore(
    private val call: StoreCall,
    budget: StoreBudget,
    private val meters: MeterRegistry,
    private val clock: Clock,
    random: Random,
) {
    private val readLimiter = RateLimiter(budget.readsPerSecond, budget.burstSeconds, budget.maxWait)
    private val writeLimiter = RateLimiter(budget.writesPerSecond, budget.burstSeconds, budget.maxWait)
    private val breaker = StoreBreaker(budget, random)

    suspend fun execute(command: StoreCommand): StoreReply {
        val limiter = if (command.isRead) readLimiter else writeLimiter
        val wait =
            limiter.reserve(clock()) ?: return reject(command, "ceiling", "this process is over its call ceiling")
        delay(wait)
        if (!breaker.tryAcquire(clock())) {
            return reject(command, "breaker", "the store keeps failing, the call was not sent")
        }
        return send(command)
    }

    private suspend fun send(command: StoreCommand): StoreReply {
        val reply = try {
            call(command)
        } catch (e: CancellationException) {
            breaker.onResult(clock(), failed = true)
            throw e
        }
        val outcome = reply.outcome
        breaker.onResult(clock(), outcome != CallOutcome.ANSWERED)
        count(command, outcome.label)
        return reply
    }

    private fun reject(command: StoreCommand, outcome: String, detail: String): StoreReply {
        count(command, outcome)
        return StoreReply.NotDone(detail)
    }

    private fun count(command: StoreCommand, outcome: String) {
        meters.counter(CALLS_METER, "kind", command.kind, "end", outcome).increment()
    }
}

/** Outcome of a call that was sent; [label] is its value in the metric. */
private enum class CallOutcome(val label: String) {
    ANSWERED("answered"),
    NOT_DONE("not-done"),
    UNCERTAIN("uncertain"),
}

private val StoreReply.outcome: CallOutcome
    get() = when (this) {
        is StoreReply.NotDone -> CallOutcome.NOT_DONE
        is StoreReply.Uncertain -> CallOutcome.UNCERTAIN
        else -> CallOutcome.ANSWERED
    }

private val StoreCommand.isRead: Boolean
    get() = this is StoreCommand.Get || this is StoreCommand.List || this is StoreCommand.Watch

private val StoreCommand.kind: String
    get() = when (this) {
        is StoreCommand.Get -> "get"
        is StoreCommand.List -> "list"
        is StoreCommand.Put -> "put"
        is StoreCommand.Delete -> "delete"
        is StoreCommand.Watch -> "watch"
        is StoreCommand.Grant -> "grant"
        is StoreCommand.Renew -> "renew"
        is StoreCommand.Revoke -> "revoke"
    }
