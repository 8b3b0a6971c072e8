package io.mimosatrail.store.client

import kotlinx.serialization.json.Json

internal val storeJson = Json { ignoreUnknownKeys = true }
