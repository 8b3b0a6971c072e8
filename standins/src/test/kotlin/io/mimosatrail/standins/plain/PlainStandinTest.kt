package io.mimosatrail.standins.plain

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.mimosatrail.standins.http
import io.mimosatrail.standins.running
import org.http4k.core.Method.GET
import org.http4k.core.Method.POST

class PlainStandinTest :
    FunSpec({
        test("each call adds a record, even if its body repeats") {
            PlainStandin().start().running { service ->
                repeat(2) { http(POST, "${service.url}/reports", "switch 7").status.code shouldBe 201 }
                service.records.map { it.id to it.body } shouldBe listOf(1L to "switch 7", 2L to "switch 7")
                http(GET, "${service.url}/reports/2").status.code shouldBe 200
                http(GET, "${service.url}/reports/3").status.code shouldBe 404
                http(GET, "${service.url}/status/lulea").status.code shouldBe 200
            }
        }

        context("faults of a report") {
            withData(
                mapOf(
                    "connection closed after the record" to (PlainFaults(closedAfterRecord = 1) to 1),
                    "error after the record" to (PlainFaults(errorsAfterRecord = 1) to 1),
                    "error before the record" to (PlainFaults(errorsBeforeRecord = 1) to 0),
                    "connection closed before the record" to (PlainFaults(closedBeforeRecord = 1) to 0),
                    "dead" to (PlainFaults(dead = true) to 0),
                ),
            ) { (faults, records) ->
                PlainStandin().start().running { service ->
                    service.faults.set(faults)
                    http(POST, "${service.url}/reports", "switch 7").status.successful shouldBe false
                    service.records.size shouldBe records
                }
            }
        }
    })
