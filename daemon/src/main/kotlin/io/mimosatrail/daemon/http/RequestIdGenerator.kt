package io.mimosatrail.daemon.http

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import java.security.SecureRandom
import java.util.concurrent.atomic.AtomicLong

private const val RADIX = 36

/** Generates request ids that are unique across all entries and their restarts. */
internal class RequestIdGenerator(private val instance: InstanceId) {
    private val processToken = SecureRandom().nextLong().toULong().toString(RADIX)
    private val counter = AtomicLong()

    fun next(): RequestId = RequestId("$instance-$processToken-${counter.incrementAndGet().toString(RADIX)}")
}
