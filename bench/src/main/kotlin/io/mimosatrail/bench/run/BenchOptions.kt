package io.mimosatrail.bench.run

import java.nio.file.Path

/** Options of a run: [quick] ends within 50 s; plots go to [output]. */
class BenchOptions(val quick: Boolean, val seed: Long, val output: Path)
