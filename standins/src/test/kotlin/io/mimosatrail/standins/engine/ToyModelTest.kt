package io.mimosatrail.standins.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll

class ToyModelTest :
    FunSpec({
        val model = ToyModel("inspection", "1", 6)
        val prompts = Arb.list(Arb.int(0..255), 1..40)

        test("tokens are printable and deterministic for a prompt") {
            checkAll(PropTestConfig(seed = 4_401), prompts) { prompt ->
                val tokens = model.generate(prompt, 12)
                tokens.all { it in 32..126 } shouldBe true
                tokens shouldBe model.generate(prompt, 12)
                tokens.take(5) shouldBe model.generate(prompt, 5)
                tokens.drop(5) shouldBe model.generate(prompt + tokens.take(5), 7)
            }
        }

        test("another version, model or number of layers gives other tokens") {
            val outputs = listOf(
                model,
                ToyModel("inspection", "2", 6),
                ToyModel("drafting", "1", 6),
                ToyModel("inspection", "1", 5),
            ).map { it.generate(listOf(1, 2, 3), 24) }
            outputs.distinct().size shouldBe outputs.size
        }

        test("running a position twice or the layers in another order changes the output") {
            val state = model.initialState(0)
            val once = model.nextState(state, 7, 0)
            model.nextState(once, 7, 0) shouldNotBe once
            val inOrder = model.output(1, model.output(1, 7, 0), 1)
            val swapped = model.output(1, model.output(1, 7, 1), 0)
            inOrder shouldNotBe swapped
        }
    })
