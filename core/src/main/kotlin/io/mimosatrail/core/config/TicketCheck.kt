package io.mimosatrail.core.config

private const val MAX_ID_LENGTH = 100
private val ID_PATTERN = Regex("[A-Za-z0-9][A-Za-z0-9._-]*")
private val KEY_HASH_PATTERN = Regex("[0-9a-f]{64}")
private val METHODS = setOf("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")
private const val MAX_LAYERS = 10_000
private const val MAX_SLOTS = 1_024
private const val MAX_TOKENS = 1_000_000
private const val MAX_RATE = 1_000_000_000
private const val MAX_SHARE = 1_000
private const val MAX_PRIORITY = 100

/**
 * Problems that can be found in the ticket alone: number, ids, values out of bounds, objects named twice. References
 * between objects are checked when the ticket is applied.
 */
fun Ticket.problems(): List<TicketProblem> = buildList {
    if (number.value <= 0) add(TicketProblem(TicketPath("ticket"), "number $number is not above 0"))
    if (touched.isEmpty()) add(TicketProblem(TicketPath("ticket"), "the ticket touches no object"))
    workspaces.forEachIndexed { i, workspace -> ProblemCollector("workspaces", i, this).check(workspace) }
    pools.forEachIndexed { i, pool -> ProblemCollector("pools", i, this).check(pool) }
    services.forEachIndexed { i, service -> ProblemCollector("services", i, this).check(service) }
    rules.forEachIndexed { i, rule -> ProblemCollector("rules", i, this).check(rule) }
    addAll(duplicates())
}

private fun Ticket.duplicates(): List<TicketProblem> {
    val paths =
        workspaces.mapIndexed { i, element -> element.id.toConfigObject() to TicketPath("workspaces", i, "id") } +
            pools.mapIndexed { i, element -> element.id.toConfigObject() to TicketPath("pools", i, "id") } +
            services.mapIndexed { i, element -> element.id.toConfigObject() to TicketPath("services", i, "id") } +
            rules.mapIndexed { i, element -> element.id.toConfigObject() to TicketPath("rules", i, "id") } +
            removed.objects.map { it to TicketPath("remove") }
    val seen = HashSet<ConfigObject>()
    return paths.filterNot { (target, _) -> seen.add(target) }
        .map { (target, path) -> TicketProblem(path, "$target is named twice in this ticket") }
}

/** Adds the problems of the ticket's object at [index] of [list] to [problems]. */
private class ProblemCollector(
    private val list: String,
    private val index: Int,
    private val problems: MutableList<TicketProblem>,
) {
    fun check(workspace: Workspace) {
        id(workspace.id.value)
        workspace.keyHashes.filterNot { KEY_HASH_PATTERN.matches(it) }.forEach {
            add("keyHashes", "'${it.take(MAX_ID_LENGTH)}' is not a SHA-256 digest of 64 lower-case hex digits")
        }
        within("requestsPerSecond", workspace.requestsPerSecond, 0..MAX_RATE)
        within("tokensPerSecond", workspace.tokensPerSecond, 0..MAX_RATE)
        within("share", workspace.share, 1..MAX_SHARE)
        check(workspace.objectives)
    }

    fun check(pool: ModelPool) {
        id(pool.id.value)
        name("model", pool.model.value)
        name("version", pool.version)
        within("layers", pool.layers, 1..MAX_LAYERS)
        within("maxTokens", pool.maxTokens, 1..MAX_TOKENS)
        pool.adapters.forEach { name("adapters", it) }
        if (pool.adapters.toSet().size < pool.adapters.size) add("adapters", "an adapter is named twice")
    }

    fun check(service: PlainService) {
        id(service.id.value)
        within("slots", service.slots, 1..MAX_SLOTS)
        service.idempotentCalls.forEach { call ->
            if (call.method !in METHODS) add("idempotentCalls", "method '${call.method}' is not one of $METHODS")
            if (!call.pathPrefix.startsWith("/")) {
                add("idempotentCalls", "path prefix '${call.pathPrefix}' does not start with /")
            }
        }
    }

    fun check(rule: RoutingRule) {
        id(rule.id.value)
        within("priority", rule.priority, 0..MAX_PRIORITY)
    }

    private fun check(objectives: Objectives) {
        if (objectives.ratio.isNaN() || objectives.ratio <= 0.0 || objectives.ratio >= 1.0) {
            add("objectives", "ratio ${objectives.ratio} is not between 0 and 1")
        }
        if (objectives.firstTokenMillis <= 0) add("objectives", "firstTokenMillis must be above 0")
        if (objectives.interTokenMillis <= 0) add("objectives", "interTokenMillis must be above 0")
    }

    private fun id(value: String) = name("id", value)

    private fun name(field: String, value: String) {
        if (value.length > MAX_ID_LENGTH || !ID_PATTERN.matches(value)) {
            add(field, "'${value.take(MAX_ID_LENGTH)}' is not 1 to $MAX_ID_LENGTH letters, digits, '.', '_' or '-'")
        }
    }

    private fun within(field: String, value: Int, allowed: IntRange) {
        if (value !in allowed) add(field, "$value is not in ${allowed.first} to ${allowed.last}")
    }

    private fun add(field: String, detail: String) {
        problems += TicketProblem(TicketPath(list, index, field), detail)
    }
}
