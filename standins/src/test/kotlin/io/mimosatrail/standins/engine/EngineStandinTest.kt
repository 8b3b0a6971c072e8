package io.mimosatrail.standins.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.mimosatrail.standins.http
import io.mimosatrail.standins.json
import io.mimosatrail.standins.running
import org.http4k.core.Method.DELETE
import org.http4k.core.Method.GET
import org.http4k.core.Method.POST
import org.http4k.core.Method.PUT
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

class EngineStandinTest :
    FunSpec({
        val instant = EngineSettings(timing = EngineTiming.INSTANT, modelLayers = 6, endLayer = 6, loadMillis = 0)
        val prompt = "which heaters need attention".map { it.code }

        test("two stages together generate the tokens of the whole model") {
            EngineStandin(instant.copy(endLayer = 2)).start().running { first ->
                EngineStandin(instant.copy(firstLayer = 2)).start().running { last ->
                    val tokens = mutableListOf<Int>()
                    var input = prompt
                    var position = 0
                    repeat(8) {
                        val boundary = first.run(ItemBody("s", position, input.size, tokens = input))
                        val sampled = last.run(ItemBody("s", position, input.size, activations = boundary.activations))
                        tokens += checkNotNull(sampled.token)
                        position += input.size
                        input = listOf(checkNotNull(sampled.token))
                    }
                    tokens shouldBe first.toyModel.generate(prompt, 8)
                    last.runs.sequences shouldBe listOf(RunRecord("s", position, position.toLong()))
                }
            }
        }

        test("a sequence continues on another engine that imports its KV cache") {
            EngineStandin(instant).start().running { source ->
                EngineStandin(instant).start().running { target ->
                    source.run(ItemBody("s", 0, prompt.size - 1, tokens = prompt.dropLast(1)))
                    val state = http(GET, "${source.url}/v1/sequences/s/kv").bodyString()
                    http(PUT, "${target.url}/v1/sequences/s/kv", state).status.code shouldBe 204
                    val result = target.run(ItemBody("s", prompt.size - 1, 1, tokens = prompt.takeLast(1)))
                    result.token shouldBe source.toyModel.generate(prompt, 1).single()
                }
            }
        }

        test("an item that cannot run is refused with the error code of its cause") {
            EngineStandin(instant.copy(kvBytesPerToken = 1, kvCapacityBytes = 4)).start().running { engine ->
                engine.run(ItemBody("s", 1, 1, tokens = listOf(1))).error shouldBe "unknown-sequence"
                engine.run(ItemBody("s", 0, 3, tokens = listOf(1, 2, 3))).error shouldBe null
                val repeated = engine.run(ItemBody("s", 0, 1, tokens = listOf(1)))
                repeated.error shouldBe "position-mismatch"
                repeated.cachedPositions shouldBe 3
                engine.run(ItemBody("t", 0, 2, tokens = listOf(1, 2))).error shouldBe "out-of-memory"
                engine.run(ItemBody("t", 0, 2, tokens = listOf(1))).error shouldBe "bad-input"
                http(DELETE, "${engine.url}/v1/sequences/s").status.code shouldBe 204
                engine.run(ItemBody("t", 0, 2, tokens = listOf(1, 2))).error shouldBe null
            }
        }

        test("an order with an outdated fencing number is rejected only if the engine checks it") {
            listOf(true, false).forEach { checks ->
                EngineStandin(instant.copy(checksFencing = checks)).start().running { engine ->
                    engine.order(5, "2") shouldBe 200
                    engine.order(4, "1") shouldBe if (checks) 409 else 200
                    engine.orders.map { it.accepted } shouldBe listOf(true, !checks)
                }
            }
        }

        test("a frozen engine responds after the fault is cleared") {
            EngineStandin(instant).start().running { engine ->
                engine.faults.set(EngineFaults(frozen = true))
                val result = CompletableFuture.supplyAsync { engine.run(ItemBody("s", 0, 1, tokens = listOf(1))) }
                http(POST, "${engine.url}/standin/faults", "{}").status.code shouldBe 200
                result.get(20, TimeUnit.SECONDS).error shouldBe null
            }
        }

        test("a dead engine sends no response and loses its sequences") {
            EngineStandin(instant).start().running { engine ->
                engine.run(ItemBody("s", 0, 1, tokens = listOf(1)))
                engine.faults.set(EngineFaults(dead = true))
                http(GET, "${engine.url}/v1/engine").status.successful shouldBe false
                engine.faults.clear()
                engine.run(ItemBody("s", 1, 1, tokens = listOf(1))).error shouldBe "unknown-sequence"
            }
        }

        test("cache events report stored prefixes and omit the lost events") {
            EngineStandin(instant.copy(eventLagMillis = 0, lostEventInterval = 2)).start().running { engine ->
                engine.run(ItemBody("s", 0, 48, tokens = List(48) { it }))
                val events = json.decodeFromString<CacheEventsBody>(
                    http(GET, "${engine.url}/v1/cache-events?after=0").bodyString(),
                )
                events.events.map { it.number } shouldBe listOf(1L, 3L)
                events.last shouldBe 3
            }
        }
    })

private fun EngineStandin.run(item: ItemBody): ResultBody {
    val answer = http(POST, "$url/v1/run", json.encodeToString(RunBody(listOf(item))))
    return json.decodeFromString<ResultsBody>(answer.bodyString()).results.single()
}

private fun EngineStandin.order(fencing: Long, version: String): Int {
    val order = OrderBody(fencing, "inspection", version, emptyList(), LayersBody(0, 6))
    return http(POST, "$url/v1/orders", json.encodeToString(order)).status.code
}
