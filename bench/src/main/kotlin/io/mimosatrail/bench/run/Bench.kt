package io.mimosatrail.bench.run

/** A benchmark. [run] measures and returns its figures; it may print progress. */
class Bench(val name: String, val description: String, val run: (BenchOptions) -> List<Figure>)
