package io.mimosatrail.cli

internal object Placeholder
