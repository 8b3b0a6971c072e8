package io.mimosatrail.core.limits

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.registry.RegistryChange
import io.mimosatrail.core.registry.upstreamRecord
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val start = Moment(0)
private val upstream = InstanceId("i-1")

/** An answer received at [received] to a request sent at [sent] that announces [perSecond]; times since the start. */
private data class AnswerCase(val sent: Duration, val received: Duration, val perSecond: Double?)

private fun limited() = AnnouncedRates().apply { onAnswer(upstream, 7.5, start, start + 1.seconds) }

class AnnouncedRatesTest :
    FunSpec({
        context("limit after an answer that follows one with 7.5 a second, received after 1 s") {
            withData(
                nameFn = { (answer, _): Pair<AnswerCase, Double?> -> "$answer" },
                AnswerCase(2.seconds, 3.seconds, 5.0) to 5.0,
                AnswerCase(500.milliseconds, 3.seconds, 5.0) to 5.0,
                AnswerCase(2.seconds, 3.seconds, null) to null,
                AnswerCase(500.milliseconds, 3.seconds, null) to 7.5,
            ) { (answer, expected) ->
                val rates = limited()
                val hasChanged = rates.onAnswer(
                    upstream,
                    answer.perSecond,
                    start + answer.sent,
                    start + answer.received,
                )
                rates[upstream] shouldBe expected
                hasChanged shouldBe (expected != 7.5)
            }
        }

        test("an announcement that another one has overtaken is ignored") {
            val rates = limited()
            rates.onAnnouncement(AnnouncedRate(upstream, 3.0, start + 900.milliseconds)) shouldBe false
            rates[upstream] shouldBe 7.5
        }

        test("the limit of an upstream ends when it restarts or leaves") {
            val changes =
                listOf(
                    RegistryChange(
                        upstream,
                        upstreamRecord("i-1", startedMillis = 1),
                        upstreamRecord("i-1", startedMillis = 2),
                    ),
                    RegistryChange(upstream, upstreamRecord("i-1", startedMillis = 1), null),
                )
            changes.map { change -> limited().apply { onRegistry(listOf(change)) }[upstream] } shouldBe
                listOf(null, null)
        }

        test("the limit is kept when only the registry entry of the upstream changes") {
            val change =
                RegistryChange(
                    upstream,
                    upstreamRecord("i-1", startedMillis = 1),
                    upstreamRecord("i-1", startedMillis = 1).copy(isDraining = true),
                )
            limited().apply { onRegistry(listOf(change)) }[upstream] shouldBe 7.5
        }
    })
