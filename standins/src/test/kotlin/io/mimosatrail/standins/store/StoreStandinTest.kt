package io.mimosatrail.standins.store

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.mimosatrail.standins.base64
import io.mimosatrail.standins.http
import io.mimosatrail.standins.json
import io.mimosatrail.standins.running
import org.http4k.core.Method.DELETE
import org.http4k.core.Method.GET
import org.http4k.core.Method.POST
import org.http4k.core.Method.PUT
import org.http4k.core.Response
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

class StoreStandinTest :
    FunSpec({
        test("a write succeeds only at the expected revision") {
            StoreStandin().start().running { store ->
                store.put("a", "one", 0).status.code shouldBe 200
                store.put("a", "two", 0).status.code shouldBe 409
                store.put("a", "two", 1).status.code shouldBe 200
                val entry = store.entry("a")
                entry?.value shouldBe "two".base64()
                entry?.revision shouldBe 2
                entry?.createRevision shouldBe 1
                http(DELETE, "${store.url}/v1/kv?key=a&expected=1").status.code shouldBe 409
                http(DELETE, "${store.url}/v1/kv?key=a&expected=2").status.code shouldBe 200
                store.entry("a") shouldBe null
            }
        }

        test("a list continues after the given key") {
            StoreStandin().start().running { store ->
                listOf("a/1", "a/2", "a/3", "b").forEach { store.put(it, "x", 0) }
                val first = store.list("prefix=a/&limit=2")
                first.entries.map { it.key } shouldBe listOf("a/1", "a/2")
                first.more shouldBe true
                val second = store.list("prefix=a/&after=a/2&limit=2")
                second.entries.map { it.key } shouldBe listOf("a/3")
                second.more shouldBe false
            }
        }

        test("a value over a megabyte is refused") {
            StoreStandin().start().running { store ->
                store.put("a", "x".repeat(1_048_577), 0).status.code shouldBe 413
                store.put("a", "x".repeat(1_048_576), 0).status.code shouldBe 200
            }
        }

        test("a key is deleted when its lease ends, and a watch reports the deletion") {
            StoreStandin().start().running { store ->
                val lease = json.decodeFromString<LeaseBody>(
                    http(POST, "${store.url}/v1/leases", """{"ttl":300}""").bodyString(),
                ).lease
                val body = """{"value":"","expected":0,"lease":$lease}"""
                http(PUT, "${store.url}/v1/kv?key=a", body).status.code shouldBe 200
                val change = store.watch("prefix=a&after=1&wait=20000").changes.single()
                change.key shouldBe "a"
                change.entry shouldBe null
                http(POST, "${store.url}/v1/leases/$lease").status.code shouldBe 410
            }
        }

        test("a waiting watch returns on a change of its prefix") {
            StoreStandin().start().running { store ->
                val watch = CompletableFuture.supplyAsync { store.watch("prefix=a&after=0&wait=20000") }
                store.put("b", "x", 0)
                store.put("a", "x", 0)
                watch.get(20, TimeUnit.SECONDS).changes.single().key shouldBe "a"
                store.stats().calls[StoreCallKind.WATCH] shouldBe 1
            }
        }

        test("a watch from a revision that is no longer available is answered as compacted") {
            StoreStandin(retainedChanges = 2).start().running { store ->
                repeat(5) { store.put("a$it", "x", 0) }
                store.watch("prefix=a&after=1&wait=0").compacted shouldBe true
                store.watch("prefix=a&after=3&wait=0").changes.size shouldBe 2
            }
        }

        context("faults of a write") {
            withData(
                mapOf(
                    "connection closed after effect" to Triple(StoreFaults(closedAfterEffect = 1), null, true),
                    "timeout after effect" to Triple(StoreFaults(timeoutsAfterEffect = 1), 504, true),
                    "timeout before effect" to Triple(StoreFaults(timeoutsBeforeEffect = 1), 504, false),
                    "outage" to Triple(StoreFaults(outage = true), 503, false),
                ),
            ) { (faults, status, takesEffect) ->
                StoreStandin().start().running { store ->
                    store.faults.set(faults)
                    val answer = store.put("a", "x", 0)
                    answer.status.successful shouldBe false
                    if (status != null) answer.status.code shouldBe status
                    store.faults.clear()
                    (store.entry("a") != null) shouldBe takesEffect
                }
            }
        }
    })

private fun StoreStandin.put(key: String, value: String, expected: Long): Response =
    http(PUT, "$url/v1/kv?key=$key", """{"value":"${value.base64()}","expected":$expected,"lease":null}""")

private fun StoreStandin.entry(key: String): EntryBody? =
    json.decodeFromString<GetBody>(http(GET, "$url/v1/kv?key=$key").bodyString()).entry

private fun StoreStandin.list(query: String): ListBody =
    json.decodeFromString(http(GET, "$url/v1/kv?$query").bodyString())

private fun StoreStandin.watch(query: String): WatchBody =
    json.decodeFromString(http(GET, "$url/v1/watch?$query").bodyString())
