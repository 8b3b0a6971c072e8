package io.mimosatrail.bench.scenario

import io.mimosatrail.standins.engine.EngineFaults
import io.mimosatrail.standins.instances.InstanceListFaults
import io.mimosatrail.standins.plain.PlainFaults
import io.mimosatrail.standins.store.StoreFaults
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One line of a story. Requests start in the background under their name; later steps refer to it. */
@Serializable
sealed interface ScenarioStep {
    /** Asks [at] for a completion of [tokens] tokens. */
    @Serializable
    @SerialName("ask")
    data class Ask(val name: String, val at: String, val model: String, val prompt: String, val tokens: Int) :
        ScenarioStep

    /**
     * Sends a report to [service]; reports with the same [key] are the same report, sent again. With [untilRun] the
     * caller sends it again while it is told that it did not run.
     */
    @Serializable
    @SerialName("report")
    data class Report(
        val name: String,
        val at: String,
        val service: String,
        val key: String,
        val text: String = "",
        val timeoutSeconds: Int = 20,
        val untilRun: Boolean = false,
    ) : ScenarioStep

    /** Looks a status up. */
    @Serializable
    @SerialName("look-up")
    data class LookUp(val name: String, val at: String, val service: String, val of: String) : ScenarioStep

    /** Submits a change ticket, given as text. */
    @Serializable
    @SerialName("submit")
    data class Submit(val name: String, val ticket: String) : ScenarioStep

    /** Waits until the caller of [of] has [count] tokens. */
    @Serializable
    @SerialName("await-tokens")
    data class AwaitTokens(val of: String, val count: Int) : ScenarioStep

    /** Waits until the application holds [count] records. */
    @Serializable
    @SerialName("await-records")
    data class AwaitRecords(val at: String, val count: Int) : ScenarioStep

    /** Waits until every running process has [revision] in force. */
    @Serializable
    @SerialName("await-revision")
    data class AwaitRevision(val revision: Long) : ScenarioStep

    /** Waits until the process has ended its planned stop. */
    @Serializable
    @SerialName("await-stopped")
    data class AwaitStopped(val instance: String) : ScenarioStep

    /** Waits for the end of request [of], which must be one of [outcome]. */
    @Serializable
    @SerialName("expect")
    data class Expect(val of: String, val outcome: List<ToldOutcome>, val replayed: Boolean? = null) : ScenarioStep

    /** The application must hold exactly [count] records. */
    @Serializable
    @SerialName("expect-records")
    data class ExpectRecords(val at: String, val count: Int) : ScenarioStep

    /** The runner must have begun exactly [count] sequences. */
    @Serializable
    @SerialName("expect-sequences")
    data class ExpectSequences(val at: String, val count: Int) : ScenarioStep

    /** Exactly one of [of] must have ended with [outcome]. */
    @Serializable
    @SerialName("expect-one")
    data class ExpectOne(val of: List<String>, val outcome: ToldOutcome) : ScenarioStep

    /** Starts a spare sidecar of an application. */
    @Serializable
    @SerialName("start")
    data class Start(val instance: String) : ScenarioStep

    /** Starts a planned stop. */
    @Serializable
    @SerialName("stop")
    data class Stop(val instance: String) : ScenarioStep

    /** Ends the process at once, and with it the engine of a runner. */
    @Serializable
    @SerialName("kill")
    data class Kill(val instance: String) : ScenarioStep

    /** Ends at once the runner among these that ran the most. */
    @Serializable
    @SerialName("kill-busy")
    data class KillBusy(val among: List<String>) : ScenarioStep

    /** Freezes the engine that ran the most among these; its connections stay open. */
    @Serializable
    @SerialName("freeze-busy")
    data class FreezeBusy(val among: List<String>) : ScenarioStep

    /** The platform marks the instance as leaving in its list. */
    @Serializable
    @SerialName("mark-leaving")
    data class MarkLeaving(val instance: String) : ScenarioStep

    /** Switches faults of the store on. */
    @Serializable
    @SerialName("break-store")
    data class BreakStore(val faults: StoreFaults) : ScenarioStep

    /** Switches faults of the instance list on. */
    @Serializable
    @SerialName("break-list")
    data class BreakList(val faults: InstanceListFaults) : ScenarioStep

    /** Switches faults of a runner's engine on. */
    @Serializable
    @SerialName("break-runner")
    data class BreakRunner(val at: String, val faults: EngineFaults) : ScenarioStep

    /** Switches faults of an application on. */
    @Serializable
    @SerialName("break-application")
    data class BreakApplication(val at: String, val faults: PlainFaults) : ScenarioStep

    /** Ends the faults of `store`, `list`, a runner or an application. */
    @Serializable
    @SerialName("mend")
    data class Mend(val at: String) : ScenarioStep
}
