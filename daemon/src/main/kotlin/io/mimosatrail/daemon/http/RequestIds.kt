package io.mimosatrail.daemon.http

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import java.security.SecureRandom
import java.util.concurrent.atomic.AtomicLong

private const val RADIX = 36

/** Mints request ids that are unique over all entries and all their restarts. */
internal class RequestIds(private val instance: InstanceId) {
    private val start = SecureRandom().nextLong().toULong().toString(RADIX)
    private val counter = AtomicLong()

    fun next(): RequestId = RequestId("$instance-$start-${counter.incrementAndGet().toString(RADIX)}")
}
