package io.mimosatrail.bench.journal

import io.mimosatrail.bench.run.Bench

/** Cost and safety of the claim journal. */
internal val journalBench = Bench("journal", "claim journal: store writes, added latency, double runs") { options ->
    callLoad(options) + duplicateRuns(options)
}
