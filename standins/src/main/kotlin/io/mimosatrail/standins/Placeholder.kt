package io.mimosatrail.standins

internal object Placeholder
