package io.mimosatrail.bench.demo

/** Prints the steps of the demo and keeps the checks that failed. */
internal class DemoReport(private val print: (String) -> Unit) {
    private val failures = mutableListOf<String>()
    private var checks = 0
    private var step = 0

    val allHeld: Boolean get() = failures.isEmpty() && checks > 0

    fun step(title: String) {
        step++
        print("")
        print("$step. $title")
    }

    fun tell(line: String) = print("   $line")

    fun check(claim: String, held: Boolean, seen: String = "") {
        checks++
        if (!held) failures += claim
        val suffix = if (seen.isEmpty()) "" else " ($seen)"
        print("   ${if (held) "[ok]    " else "[FAILED]"} $claim$suffix")
    }

    fun summary() {
        print("")
        if (allHeld) {
            print(
                "All $checks checks held.",
            )
        } else {
            print("${failures.size} of $checks checks failed: $failures")
        }
    }
}
