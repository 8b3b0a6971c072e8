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
import io.mimosatrail.gateway.gossip.WordBoard
import io.mimosatrail.gateway.log.logEvent
import io.mimosatrail.gateway.wire.EngineControl
import io.mimosatrail.gateway.wire.OrderOutcome
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Orders engines to hold the layers of the plan, while this entry holds the duty. */
internal class PlacementDuty(
    private val registry: UpstreamRegistry,
    private val traffic: UpstreamTraffic,
    private val engines: EngineControl,
    private val configuration: () -> FrontConfiguration?,
    private val isHolder: () -> Boolean,
    private val confirmHolder: suspend () -> Boolean,
    private val settings: PlacementSettings,
    private val words: WordBoard,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private val orders = OrderTable()
    private var settledSince: Moment? = null
    private var lastCount = 0

    /** Compares plan and registry at a fixed pace until cancelled. */
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
        val loads = services.mapNotNull { service -> service.engine?.let { service.id to it } }.toMap()
        for ((record, layers) in due) {
            scope.launch {
                if (order(record, layers) && isServing) loads[record.service]?.let { follow(record, layers, it) }
            }
        }
    }

    private fun ordersFor(service: FrontService, profile: EngineProfile): List<Pair<UpstreamRecord, LayerRange>> {
        val now = clock()
        val usable = registry.of(service.id).filter { !it.isDraining && !traffic[it.id].isPresumedDown(now) }
        orders.settle(usable, now)
        if (!isSettled(usable, now)) return emptyList()
        val planned = usable.mapNotNull { record ->
            profile.kinds[record.kind]?.let { kind ->
                PlannedEngine(record.id, record.place, kind, orders.expected(record.id) ?: record.layers)
            }
        }
        val plan = PlacementPlanner(profile, settings).plan(planned)
        return usable.mapNotNull { record -> dueOrder(record, plan[record.id]) }
    }

    private fun dueOrder(record: UpstreamRecord, layers: LayerRange?): Pair<UpstreamRecord, LayerRange>? {
        val isDue = layers != null && layers != record.layers && orders.expected(record.id) != layers
        return if (isDue && layers != null && !orders.isPending(record.id)) record to layers else null
    }

    /** A fleet that starts registers over a second or two; a plan from half of it would be a poor one. */
    private fun isSettled(usable: List<UpstreamRecord>, now: Moment): Boolean {
        if (usable.any { it.layers != null }) return true
        if (usable.size != lastCount) settledSince = now
        lastCount = usable.size
        return usable.isNotEmpty() && settledSince?.let { now - it >= SETTLE } ?: false
    }

    /** Tells everyone as soon as the engine serves its new layers, which the registry shows a heartbeat later. */
    private suspend fun follow(record: UpstreamRecord, layers: LayerRange, profile: EngineProfile) {
        val kept = record.layers?.let { layers intersect it }
        if (kept != record.layers) words.onSeen(record, kept, isDraining = false)
        delay(profile.fullLoadTime * (layers.size - (kept?.size ?: 0)) / profile.layers)
        repeat(MOST_LOOKS) {
            val report = engines.report(record) ?: return
            if (!report.isBusy && report.layers == layers) {
                return words.onSeen(record, layers, isDraining = false)
            }
            delay(LOOK_PAUSE)
        }
    }

    /** Answers true where the engine took the order. */
    private suspend fun order(record: UpstreamRecord, layers: LayerRange): Boolean {
        orders.onOrder(record, layers, clock())
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
        /** A lost engine is replaced soon after it is noticed; the plan itself takes about a millisecond. */
        val PERIOD: Duration = 300.milliseconds
        val SETTLE: Duration = 1_500.milliseconds

        /** A load takes a little longer than its time where several run at once. */
        val LOOK_PAUSE: Duration = 250.milliseconds
        const val MOST_LOOKS = 8
    }
}

/** Orders that were given and are not yet seen in the registry. */
private class OrderTable {
    private class Order(val layers: LayerRange, val startedMillis: Long, var until: Moment)

    private val orders = HashMap<InstanceId, Order>()

    fun clear() = orders.clear()

    /** What the engine will hold once its order is carried out, or null without one. */
    fun expected(id: InstanceId): LayerRange? = orders[id]?.layers

    fun isPending(id: InstanceId): Boolean = id in orders

    fun onOrder(record: UpstreamRecord, layers: LayerRange, now: Moment) {
        orders[record.id] = Order(layers, record.startedMillis, now + LONGEST_WAIT)
    }

    /** Lets the engine be asked again soon. */
    fun onRefused(id: InstanceId, now: Moment) {
        orders[id]?.until = now + REFUSAL_PAUSE
    }

    /** Forgets orders that the registry shows, that waited too long, or whose engine has restarted. */
    fun settle(records: List<UpstreamRecord>, now: Moment) {
        val byId = records.associateBy { it.id }
        orders.entries.removeIf { (id, order) ->
            val record = byId[id]
            record == null ||
                record.layers == order.layers ||
                record.startedMillis != order.startedMillis ||
                now >= order.until
        }
    }

    private companion object {
        /** Engines load layers within seconds and tell within a heartbeat; later the order is taken to be lost. */
        val LONGEST_WAIT: Duration = 8.seconds
        val REFUSAL_PAUSE: Duration = 700.milliseconds
    }
}
