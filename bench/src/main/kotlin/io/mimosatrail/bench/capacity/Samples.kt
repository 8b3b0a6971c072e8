package io.mimosatrail.bench.capacity

import io.mimosatrail.core.config.ModelPool
import io.mimosatrail.core.config.RoutingRule
import io.mimosatrail.core.config.Ticket
import io.mimosatrail.core.config.Workspace
import io.mimosatrail.core.id.AcceleratorKind
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ModelId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.RuleId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.TicketNumber
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.membership.EngineDescription
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.InstanceRole
import io.mimosatrail.core.membership.UpstreamDescription
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.pipeline.Chain
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.pipeline.Stage

internal const val LAYERS_PER_STAGE = 16

/** Unmeasured runs before a measurement of processor time, so that the JIT compiler has compiled the code. */
internal const val WARM_UPS = 2
private const val STAGES = 3
private const val PLACES = 6
private const val HASH_CHARACTERS = 64
private const val KV_BYTES_PER_TOKEN = 131_072
private const val KV_CAPACITY = 64L shl 30
private val kinds = listOf("gpu-xl", "gpu-l", "gpu-m", "gpu-s", "npu", "cpu")

internal fun address(number: Int) = PeerAddress("10.0.${number / 250}.${number % 250}", 7_000)

internal fun layers(stage: Int) = LayerRange(stage * LAYERS_PER_STAGE, (stage + 1) * LAYERS_PER_STAGE)

internal fun chain(stages: Int) =
    Chain(List(stages) { Stage(InstanceId("runner-ahmedabad-$it"), address(it), layers(it)) })

internal fun pool(number: Int = 0) =
    ModelPool(ServiceId("pool-$number"), ModelId("model-$number"), layers = STAGES * LAYERS_PER_STAGE)

internal fun listRow(number: Int, models: Int) = InstanceEntry(
    id = InstanceId("runner-$number"),
    role = InstanceRole.SIDECAR,
    place = PlaceId("place-${number % PLACES}"),
    address = address(number),
    service = ServiceId("pool-${number % models}"),
    adminAddress = address(number),
)

internal fun description(number: Int, models: Int): UpstreamDescription {
    val row = listRow(number, models)
    val engine = EngineDescription(
        model = ModelId("model-${number % models}"),
        version = "1",
        layers = layers(number / models % STAGES),
        modelLayers = STAGES * LAYERS_PER_STAGE,
        kind = AcceleratorKind(kinds[number % kinds.size]),
        kvBytesPerToken = KV_BYTES_PER_TOKEN,
        kvCapacityBytes = KV_CAPACITY,
    )
    val load = UpstreamLoad(waiting = 3, running = 20, meanStepMicros = 14_000, freeKvBytes = KV_CAPACITY / 2)
    return UpstreamDescription(row.id, row.place, row.address, checkNotNull(row.service), load, engine)
}

internal fun workspace(number: Int): Workspace =
    Workspace(WorkspaceId("workspace-$number"), listOf(number.toString(16).padStart(HASH_CHARACTERS, '0')))

internal fun rule(workspace: Int, model: Int) = RoutingRule(
    id = RuleId("rule-$workspace"),
    service = ServiceId("pool-$model"),
    model = ModelId("model-$model"),
    workspace = WorkspaceId("workspace-$workspace"),
)

/** A ticket with [workspaces] workspaces, each with one routing rule, and [models] pools. */
internal fun ticket(number: Long, workspaces: Int, models: Int) = Ticket(
    number = TicketNumber(number),
    workspaces = List(workspaces, ::workspace),
    pools = List(models, ::pool),
    rules = List(workspaces) { rule(it, it % models) },
)
