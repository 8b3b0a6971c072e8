package io.mimosatrail.protocol

internal object Placeholder
