package io.mimosatrail.bench.run

import java.nio.file.Path

/** Options of a run. A [quick] run finishes within 50 s; plots are written to the folder [output]. */
class BenchOptions(val quick: Boolean, val seed: Long, val output: Path)
