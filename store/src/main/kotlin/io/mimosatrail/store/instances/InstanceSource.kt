package io.mimosatrail.store.instances

import com.github.michaelbull.result.Result
import io.mimosatrail.core.membership.InstanceEntry

/**
 * Reads the platform's list of instances. The list may be out of date. The error is the reason why it could not be
 * read.
 */
typealias InstanceSource = suspend () -> Result<List<InstanceEntry>, String>
