package io.mimosatrail.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class SupervisionTest :
    FunSpec({
        // Guards against a step that ends for good at the first failure that nobody foresaw.
        context("a step that fails runs again after a pause") {
            withData(
                nameFn = { it::class.simpleName.orEmpty() },
                IllegalStateException("unforeseen"),
                StackOverflowError(),
                OutOfMemoryError(),
                CancellationException("something else was cancelled"),
            ) { failure ->
                runTest {
                    val starts = mutableListOf<Long>()
                    val job = launchSupervised("step") {
                        starts += currentTime
                        if (starts.size <= 2) throw failure
                        awaitCancellation()
                    }
                    delay(10.seconds)
                    job.isActive shouldBe true
                    job.cancel()
                    starts shouldBe listOf(0L, 250L, 500L)
                }
            }
        }

        // Guards against steps that go on after the stop of their entry.
        context("a cancelled step ends") {
            withData(
                nameFn = { it.first },
                "while it runs" to suspend { awaitCancellation() },
                "while it waits to run again" to suspend { error("unforeseen") },
                "even if it fails then" to suspend {
                    try {
                        awaitCancellation()
                    } finally {
                        error("unforeseen")
                    }
                },
            ) { (_, body) ->
                runTest {
                    var starts = 0
                    val job = launchSupervised("step") {
                        starts++
                        body()
                    }
                    delay(100.milliseconds)
                    job.cancel()
                    delay(10.seconds)
                    job.isCompleted shouldBe true
                    starts shouldBe 1
                }
            }
        }

        test("a step that returns is over") {
            runTest {
                var starts = 0
                launchSupervised("step") { starts++ }.join()
                starts shouldBe 1
            }
        }
    })
