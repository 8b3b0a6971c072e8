package io.mimosatrail.upstream

internal object Placeholder
