package io.mimosatrail.core.net

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

class PeerAddressTest :
    FunSpec({
        context("parses host:port, and returns null for other text") {
            withData(
                nameFn = { (text, _): Pair<String, PeerAddress?> -> "'$text'" },
                "10.1.0.40:8227" to PeerAddress("10.1.0.40", 8_227),
                "127.0.0.1:0" to PeerAddress("127.0.0.1", 0),
                "nowhere" to null,
                ":80" to null,
                "host:" to null,
                "host:port" to null,
                "host:-1" to null,
                "host:65536" to null,
            ) { (text, address) -> text.toPeerAddressOrNull() shouldBe address }
        }
    })
