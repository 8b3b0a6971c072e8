package io.mimosatrail.gateway.duty

import io.mimosatrail.core.balance.UpstreamTraffic
import io.mimosatrail.core.front.FrontConfiguration
import io.mimosatrail.core.front.FrontService
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.placement.EngineProfile
import io.mimosatrail.core.placement.PlacementPlanner
import io.mimosatrail.core.placement.PlacementSettings
import io.mimosatrail.core.placement.PlannedEngine
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.registry.UpstreamRegistry
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.gossip.UpstreamObservations
import io.mimosatrail.gateway.log.logEvent
import io.mimosatrail.gateway.wire.EngineControl
import io.mimosatrail.gateway.wire.OrderOutcome
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Assigns model layers to engines while this entry holds the placement duty.
 *
 * Each round computes a placement plan from the registry and orders every engine whose layers differ from the plan to
 * load the planned ones. [confirmHolder] renews the lease of the duty; it is called right before orders are sent.
 */
internal class PlacementDuty(
    private val registry: UpstreamRegistry,
    private val traffic: UpstreamTraffic,
    private val engines: EngineControl,
    private val configuration: () -> FrontConfiguration?,
    private val isHolder: () -> Boolean,
    private val confirmHolder: suspend () -> Boolean,
    private val settings: PlacementSettings,
    private val observations: UpstreamObservations,
    private val mayCall: (InstanceId) -> Boolean,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private val orders = PendingOrders()
    private var stableSince: Moment? = null
    private var lastUsableCount = 0

    /** Runs a round every [PERIOD] until cancelled. */
    suspend fun run() {
        while (true) {
            if (isHolder()) tick() else orders.clear()
            delay(PERIOD)
        }
    }

    private suspend fun tick() {
        val services = configuration()?.services?.values.orEmpty()
        val due = services.flatMap { service -> service.engine?.let { ordersFor(service, it) }.orEmpty() }
        if (due.isEmpty() || !confirmHolder()) return
        val isServing = registry.all.any { it.layers != null }
        val profiles = services.mapNotNull { service -> service.engine?.let { service.id to it } }.toMap()
        for ((record, layers) in due) {
            scope.launch {
                if (order(record, layers) && isServing) {
                    profiles[record.service]?.let { trackLoading(record, layers, it) }
                }
            }
        }
    }

    private fun ordersFor(service: FrontService, profile: EngineProfile): List<Pair<UpstreamRecord, LayerRange>> {
        val now = clock()
        val usable = registry.of(service.id).filter { !it.isDraining && !traffic[it.id].isPresumedDown(now) }
        orders.removeObsolete(usable, now)
        if (!isFleetStable(usable, now)) return emptyList()
        val planned = usable.mapNotNull { record ->
            profile.kinds[record.kind]?.let { kind ->
                PlannedEngine(record.id, record.place, kind, orders.expectedLayers(record.id) ?: record.layers)
            }
        }
        val plan = PlacementPlanner(profile, settings).plan(planned)
        return usable.mapNotNull { record -> dueOrder(record, plan[record.id]) }
    }

    private fun dueOrder(record: UpstreamRecord, layers: LayerRange?): Pair<UpstreamRecord, LayerRange>? {
        val isDue = layers != null && layers != record.layers && orders.expectedLayers(record.id) != layers
        val isAllowed = !orders.isPending(record.id) && mayCall(record.id)
        return if (isDue && layers != null && isAllowed) record to layers else null
    }

    /**
     * True if any engine holds layers, or if the number of usable engines has not changed for [STABLE_TIME]. The
     * engines of a starting fleet register over a second or two, and a plan made from half of them would be poor.
     */
    private fun isFleetStable(usable: List<UpstreamRecord>, now: Moment): Boolean {
        if (usable.any { it.layers != null }) return true
        if (usable.size != lastUsableCount) stableSince = now
        lastUsableCount = usable.size
        return usable.isNotEmpty() && stableSince?.let { now - it >= STABLE_TIME } ?: false
    }

    /**
     * Publishes which layers the engine still serves while it loads [layers], then waits until it serves all of them
     * and publishes that too. The registry shows either change only after the engine's next heartbeat.
     */
    private suspend fun trackLoading(record: UpstreamRecord, layers: LayerRange, profile: EngineProfile) {
        val kept = record.layers?.let { layers intersect it }
        if (kept != record.layers) observations.publish(record, kept, isDraining = false)
        delay(profile.fullLoadTime * (layers.size - (kept?.size ?: 0)) / profile.layers)
        repeat(MAX_POLLS) {
            val report = if (mayCall(record.id)) engines.report(record) ?: return else null
            if (report != null && !report.isBusy && report.layers == layers) {
                return observations.publish(record, layers, isDraining = false)
            }
            delay(POLL_INTERVAL)
        }
    }

    /** Orders the engine to load [layers], unless it is busy or holds them already. Returns true if it accepts. */
    private suspend fun order(record: UpstreamRecord, layers: LayerRange): Boolean {
        orders.onSent(record, layers, clock())
        val report = engines.report(record)
        if (report == null || report.isBusy) {
            orders.onRefused(record.id, clock())
            log("order-put-off", record, layers, "report" to report)
            return false
        }
        if (report.layers == layers) return false
        val outcome = engines.assignLayers(record, layers, report.orders)
        log("order-sent", record, layers, "orders" to report.orders, "outcome" to outcome)
        if (outcome is OrderOutcome.Refused) orders.onRefused(record.id, clock())
        return outcome == OrderOutcome.Accepted
    }

    private fun log(event: String, record: UpstreamRecord, layers: LayerRange, vararg more: Pair<String, Any?>) =
        logEvent(
            "placement",
            event,
            "upstream" to record.id,
            "held" to record.layers,
            "layers" to layers,
            "registry-age" to registry.age(clock()),
            *more,
        )

    private companion object {
        /** Short, so that a lost engine is replaced soon; computing a plan takes about a millisecond. */
        val PERIOD: Duration = 300.milliseconds
        val STABLE_TIME: Duration = 1_500.milliseconds

        /** Loading takes a little longer than its nominal time if several engines load at once. */
        val POLL_INTERVAL: Duration = 250.milliseconds
        const val MAX_POLLS = 8
    }
}

/** Orders that were sent and that the registry does not show yet. */
private class PendingOrders {
    private class Order(val layers: LayerRange, val startedMillis: Long, var expiresAt: Moment)

    private val orders = HashMap<InstanceId, Order>()

    fun clear() = orders.clear()

    /** Layers that the engine will hold after its pending order, or null if it has none. */
    fun expectedLayers(id: InstanceId): LayerRange? = orders[id]?.layers

    fun isPending(id: InstanceId): Boolean = id in orders

    fun onSent(record: UpstreamRecord, layers: LayerRange, now: Moment) {
        orders[record.id] = Order(layers, record.startedMillis, now + ORDER_TIMEOUT)
    }

    /** Lets the engine get another order after [REFUSAL_RETRY_DELAY]. */
    fun onRefused(id: InstanceId, now: Moment) {
        orders[id]?.expiresAt = now + REFUSAL_RETRY_DELAY
    }

    /** Removes orders that the registry shows as done or that expired, and those of engines that restarted or left. */
    fun removeObsolete(records: List<UpstreamRecord>, now: Moment) {
        val byId = records.associateBy { it.id }
        orders.entries.removeIf { (id, order) ->
            val record = byId[id]
            record == null ||
                record.layers == order.layers ||
                record.startedMillis != order.startedMillis ||
                now >= order.expiresAt
        }
    }

    private companion object {
        /** Loading takes seconds and shows in the registry a heartbeat later. After this time an order is lost. */
        val ORDER_TIMEOUT: Duration = 8.seconds
        val REFUSAL_RETRY_DELAY: Duration = 700.milliseconds
    }
}
