package io.mimosatrail.standins.weights

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.mimosatrail.standins.http
import io.mimosatrail.standins.running
import org.http4k.core.Method.GET

class WeightStandinTest :
    FunSpec({
        test("a load succeeds, and is refused if the queue is full or the layers are malformed") {
            WeightStandin(layersPerSecond = 1_000.0, maxQueueMillis = -1).start().running { weights ->
                http(GET, "${weights.url}/v1/weights/inspection/1?layers=0-4").status.code shouldBe 429
                http(GET, "${weights.url}/v1/weights/inspection/1?layers=4-4").status.code shouldBe 400
            }
            WeightStandin(layersPerSecond = 1_000.0).start().running { weights ->
                http(GET, "${weights.url}/v1/weights/inspection/1?layers=0-4").status.code shouldBe 200
            }
        }
    })
