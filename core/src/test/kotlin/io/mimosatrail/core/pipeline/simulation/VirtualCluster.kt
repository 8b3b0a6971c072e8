package io.mimosatrail.core.pipeline.simulation

import io.mimosatrail.core.config.ModelPool
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ModelId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.pipeline.Chain
import io.mimosatrail.core.pipeline.InvariantViolation
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.pipeline.PipelineChecks
import io.mimosatrail.core.pipeline.RecoveryForecast
import io.mimosatrail.core.pipeline.Stage
import io.mimosatrail.core.pipeline.StageSettings
import io.mimosatrail.core.pipeline.StageTable
import io.mimosatrail.core.pipeline.StreamMessage
import io.mimosatrail.core.pipeline.StreamSettings
import io.mimosatrail.core.pipeline.StreamSpec
import io.mimosatrail.core.pipeline.StreamTable
import io.mimosatrail.core.pipeline.observedForecast
import io.mimosatrail.core.routing.ChainRequest
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val ENTRY_PORT = 1
private const val STAGE_PORT = 100

/**
 * Deterministic simulation of one entry and the stages of one model in virtual time.
 *
 * Runs the production [StreamTable] and [StageTable] with simulated links and engines. The same seed gives the same
 * run. Each layer range has [replicas] stages.
 */
class VirtualCluster internal constructor(
    seed: Long,
    private val ranges: List<LayerRange>,
    replicas: Int,
    val speed: VirtualSpeed,
    private val faults: VirtualFaults,
    private val stageSettings: StageSettings,
    private val streamSettings: StreamSettings,
    private val forecast: RecoveryForecast,
    private val checks: PipelineChecks,
) {
    constructor(
        seed: Long,
        ranges: List<LayerRange>,
        replicas: Int = 3,
        speed: VirtualSpeed = VirtualSpeed(),
        faults: VirtualFaults = VirtualFaults(),
        stageSettings: StageSettings = StageSettings(),
        streamSettings: StreamSettings = StreamSettings(),
        forecast: RecoveryForecast = observedForecast,
    ) : this(seed, ranges, replicas, speed, faults, stageSettings, streamSettings, forecast, PipelineChecks())

    val random = Random(seed)
    val time = VirtualTime()
    val layers = ranges.last().end
    val violations = mutableListOf<InvariantViolation>()
    private val lost = mutableSetOf<InstanceId>()
    private val links = HashMap<Pair<PeerAddress, PeerAddress>, VirtualLink>()
    val pool = ModelPool(ServiceId("drafting"), ModelId("toy"), layers)
    val entry = VirtualEntry(this, InstanceId("entry"), address(ENTRY_PORT))
    val stages = ranges.flatMap { range -> List(replicas) { range } }.mapIndexed { i, range ->
        VirtualStage(this, InstanceId("stage-$i"), address(STAGE_PORT + i), range)
    }

    /** Number of valid tokens from which each sample is drawn. */
    var sampleChoices = 1

    /** Maps the address of a message to the one it is delivered to. Tests replace it to deliver to the wrong stage. */
    var misdeliver: (StreamMessage, PeerAddress) -> PeerAddress = { _, to -> to }

    init {
        time.every(20.milliseconds) { entry.tick() }
        time.every(250.milliseconds) { stages.forEach { it.tick() } }
    }

    fun spec(name: String, promptTokens: Int, maxTokens: Int, within: Duration): StreamSpec {
        val prompt = List(promptTokens) { random.nextInt(1_000) }
        return StreamSpec(RequestId(name), pool, prompt, maxTokens, 10, time.now + within)
    }

    fun run(duration: Duration) = time.runUntil(time.now + duration)

    fun link(from: PeerAddress, to: PeerAddress): VirtualLink =
        links.getOrPut(from to to) { VirtualLink(time, speed, faults, random) }

    fun send(from: PeerAddress, to: PeerAddress, message: StreamMessage) {
        val target = stages.firstOrNull { it.stage.address == misdeliver(message, to) }
        if (target?.crashedSilently == true) return
        if (target?.crashed == true) {
            time.after(speed.latency) { sendFailed(from, to, message) }
            return
        }
        link(from, to).send(message) { target?.receive(message) ?: entry.receive(message) }
    }

    /** Ends the connection from the entry to [address], which the entry detects after the latency of a link. */
    fun closeLinks(address: PeerAddress) {
        if (entry.address to address in links) time.after(speed.latency) { entry.connectionClosed(address) }
    }

    fun sendKeepAlive(from: VirtualEntry, to: PeerAddress) {
        val target = stages.first { it.stage.address == to }
        link(from.address, to).send(null) { target.entryHeartbeat(from.instance) }
    }

    fun markLost(instance: InstanceId) {
        lost += instance
    }

    /** Random offset added to a sampled token. */
    fun sampleOffset(): Int = random.nextInt(sampleChoices)

    internal fun newStageTable(instance: InstanceId) = StageTable(instance, stageSettings, violations::add, checks)

    internal fun newStreamTable(instance: InstanceId, address: PeerAddress) = StreamTable(
        instance,
        address,
        streamSettings,
        ::chooseChain,
        ::chooseStage,
        forecast,
        violations::add,
        checks,
    )

    private fun sendFailed(from: PeerAddress, to: PeerAddress, message: StreamMessage) {
        val sender = stages.firstOrNull { it.stage.address == from }
        sender?.sendFailed(to, message) ?: entry.sendFailed(to, message)
    }

    private fun chooseChain(request: ChainRequest): Chain? {
        val chosen = ranges.map { chooseStage(request, it) ?: return null }
        return Chain(chosen)
    }

    /** Chooses a random stage, if possible one that was never reported lost. */
    private fun chooseStage(request: ChainRequest, range: LayerRange): Stage? {
        val candidates = stages.map { it.stage }.filter { it.layers == range && it.instance !in request.excluded }
        return candidates.filter { it.instance !in lost }.ifEmpty { candidates }.randomOrNull(random)
    }

    private fun address(port: Int) = PeerAddress("127.0.0.1", port)
}
