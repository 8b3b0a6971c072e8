package io.mimosatrail.bench.run

/** One benchmark: [run] measures and answers its figures, printing progress for people as it goes. */
class Bench(val name: String, val description: String, val run: (BenchOptions) -> List<Figure>)
