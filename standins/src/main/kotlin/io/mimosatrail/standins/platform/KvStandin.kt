package io.mimosatrail.standins.platform

import com.sun.net.httpserver.HttpExchange
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import java.net.URLDecoder
import java.util.Base64

private const val WATCH_POLL_MILLIS = 10L

/** Stand-in of the platform's metadata store, on the loopback address. */
class KvStandin : AutoCloseable {
    private val table = KvTable()
    private val server = LoopbackServer(::serve)
    private var backup: KvBackup? = null

    /** While true, all requests are answered with 503. */
    @Volatile
    var isUnavailable = false

    /** Address as `host:port`. */
    val address: String get() = server.address

    /** Writes [value] under [key], as the operator and the runners do. A heartbeat that changes nothing is no write. */
    fun put(key: String, value: String) {
        val encoded = Base64.getEncoder().encodeToString(value.toByteArray())
        if (table.get(key)?.value == encoded) return
        table.transact(emptyMap(), listOf(KvRow(key, encoded, 0, 0, 0)), emptyList())
    }

    /** Removes [key]. */
    fun delete(key: String) {
        table.transact(emptyMap(), emptyList(), listOf(key))
    }

    /** Deletes the change history. A watch of earlier changes is then answered with 410. */
    fun compact() = table.compact()

    /** Makes the backup to which [restore] returns. */
    fun backUp() {
        backup = table.backup()
    }

    /**
     * Returns to the last backup. What runners and, unless [isConfigurationLost], operators wrote since is written
     * again, the rest is lost.
     */
    fun restore(isConfigurationLost: Boolean = false) = table.restore(
        checkNotNull(backup) { "there is no backup" },
        if (isConfigurationLost) listOf("servers/") else listOf("op/", "servers/"),
    )

    override fun close() = server.close()

    private fun serve(exchange: HttpExchange) {
        val body = exchange.requestBody.readAllBytes().decodeToString()
        exchange.responseHeaders["Store-Era"] = table.timeline.toString()
        if (isUnavailable) return exchange.respond(503, "{}")
        val path = exchange.requestURI.path
        val query = query(exchange)
        when {
            path == "/kv-key" -> get(exchange, query.getValue("Key"))
            path == "/kv-range" -> range(exchange, query.getValue("Prefix"), query["After"])
            path == "/kv-watch" -> watch(exchange, query)
            path == "/kv-txn" -> transact(exchange, Json.parseToJsonElement(body).jsonObject)
            path == "/kv-lease" -> grantLease(exchange, Json.parseToJsonElement(body).jsonObject)
            path.startsWith("/kv-keep/") -> renewLease(exchange, path.substringAfterLast('/').toLong())
            path.startsWith("/kv-lease-end/") -> {
                table.endLease(path.substringAfterLast('/').toLong())
                exchange.respond(200, "{}")
            }
            else -> exchange.respond(400, "{}")
        }
    }

    private fun get(exchange: HttpExchange, key: String) {
        val row = table.get(key) ?: return exchange.respond(404, "{}")
        exchange.respond(200, row.toJson().toString())
    }

    private fun range(exchange: HttpExchange, prefix: String, after: String?) {
        val items = JsonArray(table.range(prefix, after).map { it.toJson() })
        exchange.respond(
            200,
            buildJsonObject {
                put("Items", items)
                put("HasMore", false)
                put("At", table.revision)
            }.toString(),
        )
    }

    private fun watch(exchange: HttpExchange, query: Map<String, String>) {
        val end = System.currentTimeMillis() + query.getValue("WaitMs").toLong()
        while (true) {
            val events = table.eventsAfter(query.getValue("Prefix"), query.getValue("After").toLong())
            exchange.responseHeaders["Store-Era"] = table.timeline.toString()
            if (events == null || isUnavailable) return exchange.respond(if (isUnavailable) 503 else 410, "{}")
            if (events.isNotEmpty() || System.currentTimeMillis() >= end) {
                return exchange.respond(200, watchBody(events))
            }
            Thread.sleep(WATCH_POLL_MILLIS)
        }
    }

    private fun watchBody(events: List<KvEvent>): String = buildJsonObject {
        put("events", JsonArray(events.map { it.toJson() }))
        put("At", table.revision)
    }.toString()

    private fun transact(exchange: HttpExchange, body: JsonObject) {
        val conditions = body["Expected"]?.jsonArray.orEmpty().map { it.jsonObject }
            .associate { it.text("Key") to it.number("Revision") }
        val puts = body["Puts"]?.jsonArray.orEmpty().map { it.jsonObject }
            .map { KvRow(it.text("Key"), it.text("Value"), 0, 0, it["Lease"]?.jsonPrimitive?.long ?: 0) }
        val deletes = body["Deletes"]?.jsonArray.orEmpty().map { it.jsonPrimitive.content }
        if (puts.any { !table.hasLease(it.lease) }) return exchange.respond(404, "{}")
        val revision = table.transact(conditions, puts, deletes)
        if (revision != null) return exchange.respond(200, """{"Revision":$revision}""")
        val items = buildJsonArray { conditions.keys.mapNotNull(table::get).forEach { add(it.toJson()) } }
        exchange.respond(412, """{"Items":$items}""")
    }

    private fun grantLease(exchange: HttpExchange, body: JsonObject) {
        val ttl = body.number("TtlMs")
        exchange.respond(200, """{"Lease":${table.grantLease(ttl)},"TtlMs":$ttl}""")
    }

    private fun renewLease(exchange: HttpExchange, id: Long) {
        val ttl = table.renewLease(id) ?: return exchange.respond(404, "{}")
        exchange.respond(200, """{"TtlMs":$ttl}""")
    }

    private fun query(exchange: HttpExchange): Map<String, String> = exchange.requestURI.rawQuery.orEmpty().split('&')
        .filter { it.isNotEmpty() }
        .associate { it.substringBefore('=') to URLDecoder.decode(it.substringAfter('='), Charsets.UTF_8) }
}

private fun KvRow.toJson() = buildJsonObject {
    put("Key", key)
    put("Value", value)
    put("Revision", revision)
    put("Created", created)
    put("Lease", lease)
}

private fun KvEvent.toJson(): JsonObject = row?.toJson() ?: buildJsonObject {
    put("Key", key)
    put("Revision", revision)
    put("Deleted", JsonPrimitive(true))
}

private fun JsonObject.text(name: String): String = getValue(name).jsonPrimitive.content

private fun JsonObject.number(name: String): Long = getValue(name).jsonPrimitive.long
