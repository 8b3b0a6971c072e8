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
 * One entry and stages of one model on virtual time, with the real tables and small fakes around them.
 *
 * The same seed gives the same run. Each range has [replicas] stages.
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

    /** Number of tokens that each sample is drawn from. */
    var spread = 1

    /** Where a message really goes; a test changes it to deliver messages to the wrong stage. */
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
        if (target?.vanished == true) return
        if (target?.crashed == true) {
            time.after(speed.latency) { unsent(from, to, message) }
            return
        }
        link(from, to).send(message) { target?.receive(message) ?: entry.receive(message) }
    }

    /** The entry notices the end of its connection to [address]. */
    fun closeLinks(address: PeerAddress) {
        if (entry.address to address in links) time.after(speed.latency) { entry.closed(address) }
    }

    fun sendAlive(from: VirtualEntry, to: PeerAddress) {
        val target = stages.first { it.stage.address == to }
        link(from.address, to).send(null) { target.alive(from.instance) }
    }

    fun onLost(instance: InstanceId) {
        lost += instance
    }

    fun sampling(): Int = random.nextInt(spread)

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

    private fun unsent(from: PeerAddress, to: PeerAddress, message: StreamMessage) {
        val sender = stages.firstOrNull { it.stage.address == from }
        sender?.unsent(to, message) ?: entry.unsent(to, message)
    }

    private fun chooseChain(request: ChainRequest): Chain? {
        val chosen = ranges.map { chooseStage(request, it) ?: return null }
        return Chain(chosen)
    }

    /** Prefers stages that were never reported lost. */
    private fun chooseStage(request: ChainRequest, range: LayerRange): Stage? {
        val able = stages.map { it.stage }.filter { it.layers == range && it.instance !in request.excluded }
        return able.filter { it.instance !in lost }.ifEmpty { able }.randomOrNull(random)
    }

    private fun address(port: Int) = PeerAddress("127.0.0.1", port)
}
