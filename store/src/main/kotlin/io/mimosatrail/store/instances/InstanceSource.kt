package io.mimosatrail.store.instances

import com.github.michaelbull.result.Result
import io.mimosatrail.core.membership.InstanceEntry

/** Reads the platform's list of instances, which lags behind the truth; the error says why it could not. */
typealias InstanceSource = suspend () -> Result<List<InstanceEntry>, String>
