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
 * Wraps [call] with the process's ceiling and breaker, and counts calls by kind and end in [meters].
 *
 * A call that the ceiling or the breaker stops ends as [StoreReply.NotDone]: it was never sent.
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
    private val reads = RateCeiling(budget.readsPerSecond, budget.burstSeconds, budget.maxWait)
    private val writes = RateCeiling(budget.writesPerSecond, budget.burstSeconds, budget.maxWait)
    private val breaker = StoreBreaker(budget, random)

    suspend fun execute(command: StoreCommand): StoreReply {
        val ceiling = if (command.isRead) reads else writes
        val wait = ceiling.take(clock()) ?: return refuse(command, "ceiling", "this process is over its call ceiling")
        delay(wait)
        if (!breaker.admits(
                clock(),
            )
        ) {
            return refuse(command, "breaker", "the store keeps failing, the call was not sent")
        }
        return send(command)
    }

    private suspend fun send(command: StoreCommand): StoreReply {
        val reply = try {
            call(command)
        } catch (e: CancellationException) {
            breaker.onEnd(clock(), failed = true)
            throw e
        }
        val end = reply.end
        breaker.onEnd(clock(), end != CallEnd.ANSWERED)
        count(command, end.label)
        return reply
    }

    private fun refuse(command: StoreCommand, end: String, detail: String): StoreReply {
        count(command, end)
        return StoreReply.NotDone(detail)
    }

    private fun count(command: StoreCommand, end: String) {
        meters.counter(CALLS_METER, "kind", command.kind, "end", end).increment()
    }
}

private enum class CallEnd(val label: String) {
    ANSWERED("answered"),
    NOT_DONE("not-done"),
    UNCERTAIN("uncertain"),
}

private val StoreReply.end: CallEnd
    get() = when (this) {
        is StoreReply.NotDone -> CallEnd.NOT_DONE
        is StoreReply.Uncertain -> CallEnd.UNCERTAIN
        else -> CallEnd.ANSWERED
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
