package io.mimosatrail.bench

internal object Placeholder
