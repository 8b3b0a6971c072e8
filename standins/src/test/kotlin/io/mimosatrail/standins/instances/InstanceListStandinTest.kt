package io.mimosatrail.standins.instances

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.mimosatrail.standins.http
import io.mimosatrail.standins.json
import io.mimosatrail.standins.running
import org.http4k.core.Method.DELETE
import org.http4k.core.Method.GET
import org.http4k.core.Method.PUT

class InstanceListStandinTest :
    FunSpec({
        val row = InstanceRow("entry-1", "entry", "lulea", Address("127.0.0.1", 7_000))

        test("rows are added, replaced and removed") {
            InstanceListStandin().start().running { list ->
                val url = "${list.url}/v1/instances/entry-1"
                http(PUT, url, json.encodeToString(row)).status.code shouldBe 204
                http(PUT, url, json.encodeToString(row.copy(state = "leaving"))).status.code shouldBe 204
                list.read() shouldBe listOf(row.copy(state = "leaving"))
                http(DELETE, url).status.code shouldBe 204
                list.read() shouldBe emptyList()
            }
        }

        test("a lagging or frozen list shows the rows before the change") {
            InstanceListStandin(lagMillis = 600_000).start().running { list ->
                list.put(row)
                list.read() shouldBe emptyList()
                list.faults.set(InstanceListFaults())
                list.read() shouldBe listOf(row)
                list.faults.set(InstanceListFaults(frozen = true))
                list.remove("entry-1")
                list.read() shouldBe listOf(row)
            }
        }
    })

private fun InstanceListStandin.read(): List<InstanceRow> =
    json.decodeFromString<InstancesBody>(http(GET, "$url/v1/instances").bodyString()).instances
