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

        context("only addresses in dotted decimal form are IPv4 addresses") {
            withData(
                nameFn = { (host, _): Pair<String, Boolean> -> "'$host'" },
                "0.0.0.0" to true,
                "10.200.1.7" to true,
                "255.255.255.255" to true,
                "256.0.0.1" to false,
                "1.2.3" to false,
                "1.2.3.4.5" to false,
                "1.2.3.4 " to false,
                "01.2.3.4" to false,
                "1.2.3.+4" to false,
                "1.2..4" to false,
                "::1" to false,
                "example.org" to false,
                "not an ip" to false,
            ) { (host, isIpv4) -> PeerAddress(host, 80).isIpv4 shouldBe isIpv4 }
        }
    })
