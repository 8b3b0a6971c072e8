package io.mimosatrail.gateway.forward

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled
import kotlin.random.Random

private const val SEED = 20_261_204

private fun split(parts: List<String>): Pair<List<Pair<Long?, String>>, EventSplitter> {
    val splitter = EventSplitter()
    val events = mutableListOf<Pair<Long?, String>>()
    for (part in parts) {
        splitter.add(Unpooled.wrappedBuffer(part.toByteArray())) {
            events += it.id to it.bytes.toString(Charsets.UTF_8)
        }
    }
    return events to splitter
}

class EventSplitterTest :
    FunSpec({
        context("events and their ids") {
            data class Case(val text: String, val ids: List<Long?>, val hasIncompleteEvent: Boolean = false)
            withData(
                nameFn = { case: Case -> case.text.replace("\n", "\\n").replace("\r", "\\r") },
                Case("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", listOf(1, 2)),
                Case("data: a\nid:7\n\n", listOf(7)),
                Case("id: 1\r\ndata: a\r\n\r\n", listOf(1)),
                Case("data: a\n\n", listOf(null)),
                Case("id: x\ndata: a\n\n", listOf(null)),
                Case("x-version: 3\nid: 4\ndata: a\n\n", listOf(4)),
                Case("id: 1\ndata: a\n\nid: 2\nda", listOf(1), hasIncompleteEvent = true),
                Case("id: 1\ndata: a\n", emptyList(), hasIncompleteEvent = true),
            ) { case ->
                val (events, splitter) = split(listOf(case.text))
                events.map { it.first } shouldBe case.ids
                splitter.hasIncompleteEvent shouldBe case.hasIncompleteEvent
            }
        }

        test("an event without data is a comment") {
            val hasData = mutableListOf<Boolean>()
            val text = ": waiting\n\nid: 1\ndata: a\n\nretry: 9\n\ndata:b\n\n"
            EventSplitter().add(Unpooled.wrappedBuffer(text.toByteArray())) { hasData += it.hasData }
            hasData shouldContainExactly listOf(false, true, false, true)
        }

        test("however a stream is split into buffers, the events are the same and no byte is lost") {
            val random = Random(SEED)
            val text = (1..200).joinToString("") { "id: $it\ndata: ${"word ".repeat(it % 7)}\n\n" }
            val (whole, _) = split(listOf(text))
            repeat(50) { run ->
                withClue("seed $SEED, run $run") {
                    val parts = mutableListOf<String>()
                    var at = 0
                    while (at < text.length) {
                        val next = (at + random.nextInt(1, 90)).coerceAtMost(text.length)
                        parts += text.substring(at, next)
                        at = next
                    }
                    val (events, _) = split(parts)
                    events shouldContainExactly whole
                    events.joinToString("") { it.second } shouldBe text
                }
            }
        }
    })
