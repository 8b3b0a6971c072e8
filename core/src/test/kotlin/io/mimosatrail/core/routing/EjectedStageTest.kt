package io.mimosatrail.core.routing

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.InstanceId
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private const val SEED = 20_261_204L

/** [lost] are ejected in this order, [excluded] have just failed the request, [second] is the expected second stage. */
private data class EjectedCase(
    val name: String,
    val lost: List<String>,
    val excluded: Set<String> = emptySet(),
    val second: String?,
)

class EjectedStageTest :
    FunSpec({
        context("a range of layers whose upstreams are all ejected") {
            withData(
                nameFn = { case: EjectedCase -> case.name },
                EjectedCase("one is healthy", listOf("b1"), second = "b2"),
                EjectedCase("both ejected: the one whose ejection ends first", listOf("b1", "b2"), second = "b1"),
                EjectedCase("both ejected, one has just failed", listOf("b1", "b2"), setOf("b1"), second = "b2"),
                EjectedCase("both have just failed", listOf("b1", "b2"), setOf("b1", "b2"), second = null),
            ) { case ->
                val spread = List(2) { listOf(Runner("a$it", 0, 2), Runner("c$it", 4, 6)) }.flatten()
                val table = tableOf(6, *spread.toTypedArray(), Runner("b1", 2, 4), Runner("b2", 2, 4))
                case.lost.forEachIndexed { i, name -> table.onLost(InstanceId(name), warm + i.milliseconds) }
                val request = ChainRequest(pool(6), 10, case.excluded.map { InstanceId(it) }.toSet())
                val chain = ChainRouter(table, Random(SEED)).chooseChain(request, warm + 5.milliseconds)
                chain?.stages?.get(1)?.instance?.value shouldBe case.second
            }
        }
    })
