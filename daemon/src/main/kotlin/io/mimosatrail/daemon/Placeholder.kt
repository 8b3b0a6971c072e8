package io.mimosatrail.daemon

internal object Placeholder
