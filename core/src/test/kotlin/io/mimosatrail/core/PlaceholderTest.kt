package io.mimosatrail.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

class PlaceholderTest :
    FunSpec({
        withData(1, 2) { it shouldBe it }
    })
