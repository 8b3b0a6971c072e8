package io.mimosatrail.bench.demo

/** Prints the steps of the demo with the results of their checks, and collects the failed checks for the summary. */
internal class DemoReport(private val print: (String) -> Unit) {
    private val failures = mutableListOf<String>()
    private var checks = 0
    private var step = 0

    /** True if at least one check ran and none failed. */
    val allPassed: Boolean get() = failures.isEmpty() && checks > 0

    fun step(title: String) {
        step++
        print("")
        print("$step. $title")
    }

    fun info(line: String) = print("   $line")

    /** Prints and counts a check. [detail] says what was observed; it may be empty. */
    fun check(description: String, hasPassed: Boolean, detail: String = "") {
        checks++
        if (!hasPassed) failures += description
        val suffix = if (detail.isEmpty()) "" else " ($detail)"
        print("   ${if (hasPassed) "[ok]    " else "[FAILED]"} $description$suffix")
    }

    fun summary() {
        print("")
        if (allPassed) {
            print("All $checks checks passed.")
        } else {
            print("${failures.size} of $checks checks failed: $failures")
        }
    }
}
