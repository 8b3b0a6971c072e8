package io.mimosatrail.bench.scenario

import io.mimosatrail.standins.engine.EngineFaults
import io.mimosatrail.standins.instances.InstanceListFaults
import io.mimosatrail.standins.plain.PlainFaults
import io.mimosatrail.standins.store.StoreFaults
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One step of a scenario. Requests (`ask`, `report`, `look-up`, `submit`) run in the background under a name, by which
 * later steps refer to them.
 */
@Serializable
sealed interface ScenarioStep {
    /** Requests a completion of [tokens] tokens from [entry]. */
    @Serializable
    @SerialName("ask")
    data class Ask(
        val name: String,
        @SerialName("at") val entry: String,
        val model: String,
        val prompt: String,
        val tokens: Int,
    ) : ScenarioStep

    /**
     * Sends a report to [service] through [entry]. [key] is the idempotency key, so steps with the same key count
     * as attempts to send one report. With [untilRun] the caller resends the report as long as the outcome is
     * [ObservedOutcome.NOT_RUN].
     */
    @Serializable
    @SerialName("report")
    data class Report(
        val name: String,
        @SerialName("at") val entry: String,
        val service: String,
        val key: String,
        val text: String = "",
        val timeoutSeconds: Int = 20,
        val untilRun: Boolean = false,
    ) : ScenarioStep

    /** Looks up the status of [subject] at [service] through [entry]. */
    @Serializable
    @SerialName("look-up")
    data class LookUp(
        val name: String,
        @SerialName("at") val entry: String,
        val service: String,
        @SerialName("of") val subject: String,
    ) : ScenarioStep

    /** Submits a change ticket, given as YAML. */
    @Serializable
    @SerialName("submit")
    data class Submit(val name: String, val ticket: String) : ScenarioStep

    /** Waits until the caller of [request] has received [count] tokens. */
    @Serializable
    @SerialName("await-tokens")
    data class AwaitTokens(@SerialName("of") val request: String, val count: Int) : ScenarioStep

    /** Waits until [application] holds at least [count] records. */
    @Serializable
    @SerialName("await-records")
    data class AwaitRecords(@SerialName("at") val application: String, val count: Int) : ScenarioStep

    /** Waits until every running daemon has applied the configuration up to [revision]. */
    @Serializable
    @SerialName("await-revision")
    data class AwaitRevision(val revision: Long) : ScenarioStep

    /** Waits until [instance] has completed its planned stop. */
    @Serializable
    @SerialName("await-stopped")
    data class AwaitStopped(val instance: String) : ScenarioStep

    /** Waits for the end of [request], whose outcome must be one of [outcomes]. [isReplayed] is not checked if null. */
    @Serializable
    @SerialName("expect")
    data class Expect(
        @SerialName("of") val request: String,
        @SerialName("outcome") val outcomes: List<ObservedOutcome>,
        @SerialName("replayed") val isReplayed: Boolean? = null,
    ) : ScenarioStep

    /** [application] must hold exactly [count] records. */
    @Serializable
    @SerialName("expect-records")
    data class ExpectRecords(@SerialName("at") val application: String, val count: Int) : ScenarioStep

    /** The engine of [runner] must have started exactly [count] sequences. */
    @Serializable
    @SerialName("expect-sequences")
    data class ExpectSequences(@SerialName("at") val runner: String, val count: Int) : ScenarioStep

    /** Waits for the end of all [requests], exactly one of which must have [outcome]. */
    @Serializable
    @SerialName("expect-one")
    data class ExpectOne(@SerialName("of") val requests: List<String>, val outcome: ObservedOutcome) : ScenarioStep

    /** Starts a spare sidecar of an application. */
    @Serializable
    @SerialName("start")
    data class Start(val instance: String) : ScenarioStep

    /** Starts a planned stop of [instance], without waiting for its end. */
    @Serializable
    @SerialName("stop")
    data class Stop(val instance: String) : ScenarioStep

    /** Kills [instance], and for a runner its engine too. */
    @Serializable
    @SerialName("kill")
    data class Kill(val instance: String) : ScenarioStep

    /** Kills the runner in [among] whose engine has run the most positions. */
    @Serializable
    @SerialName("kill-busy")
    data class KillBusy(val among: List<String>) : ScenarioStep

    /** Freezes the engine in [among] that has run the most positions; its connections stay open. */
    @Serializable
    @SerialName("freeze-busy")
    data class FreezeBusy(val among: List<String>) : ScenarioStep

    /** Marks [instance] as leaving in the instance list, as the platform does. */
    @Serializable
    @SerialName("mark-leaving")
    data class MarkLeaving(val instance: String) : ScenarioStep

    /** Sets faults of the store. */
    @Serializable
    @SerialName("break-store")
    data class BreakStore(val faults: StoreFaults) : ScenarioStep

    /** Sets faults of the instance list. */
    @Serializable
    @SerialName("break-list")
    data class BreakList(val faults: InstanceListFaults) : ScenarioStep

    /** Sets faults of a runner's engine. */
    @Serializable
    @SerialName("break-runner")
    data class BreakRunner(@SerialName("at") val runner: String, val faults: EngineFaults) : ScenarioStep

    /** Sets faults of an application. */
    @Serializable
    @SerialName("break-application")
    data class BreakApplication(@SerialName("at") val application: String, val faults: PlainFaults) : ScenarioStep

    /** Clears the faults of [target]: `store`, `list`, a runner or an application. */
    @Serializable
    @SerialName("mend")
    data class Mend(@SerialName("at") val target: String) : ScenarioStep
}
