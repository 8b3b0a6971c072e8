package io.mimosatrail.bench.capacity

import com.github.michaelbull.result.get
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.config.Ticket
import io.mimosatrail.core.config.apply
import io.mimosatrail.core.id.ModelId
import io.mimosatrail.core.id.TicketNumber
import io.mimosatrail.core.id.WorkspaceId

private const val MODELS = 32
private val workspaceCounts = listOf(10, 1_000, 4_000, 9_900)

/** Costs of the configuration in force by number of workspaces, each with one routing rule. */
internal fun configurationSeries(quick: Boolean): List<Series> {
    val times = if (quick) 200 else 2_000
    return listOf(
        Series("configuration memory", "bytes", "workspace", workspaceCounts) {
            heapBytes { withIndexes(configuration(it)) }
        },
        Series("one change applied", "us", "workspace", workspaceCounts, WARM_UPS) { changeMicros(it) },
        Series("rule lookup", "us", "workspace", workspaceCounts, WARM_UPS) { lookupMicros(it, times) },
    )
}

private fun configuration(workspaces: Int): Configuration =
    checkNotNull(Configuration().apply(ticket(1, workspaces, MODELS)).get())

/** Looks up a workspace and a rule, so that indexes built on first use exist. */
private fun withIndexes(configuration: Configuration): Configuration {
    configuration.workspaceOf("")
    configuration.ruleFor(WorkspaceId("workspace-0"), ModelId("model-0"))
    return configuration
}

private fun changeMicros(workspaces: Int): Double {
    var current = withIndexes(configuration(workspaces))
    return threadMicros(30) { step ->
        val change = Ticket(TicketNumber(step + 2L), workspaces = listOf(workspace(step % workspaces)))
        current = withIndexes(checkNotNull(current.apply(change).get()))
    }
}

private fun lookupMicros(workspaces: Int, times: Int): Double {
    val configuration = withIndexes(configuration(workspaces))
    return threadMicros(times) {
        val number = it * 7 % workspaces
        checkNotNull(configuration.ruleFor(WorkspaceId("workspace-$number"), ModelId("model-${number % MODELS}")))
    }
}
