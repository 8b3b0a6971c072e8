package io.mimosatrail.bench.soak

import com.charleskorn.kaml.Yaml
import io.mimosatrail.standins.instances.InstanceRow
import kotlinx.serialization.Serializable
import java.nio.file.Path
import kotlin.io.path.readText

/**
 * The processes that `bin/soak` started. [store], [list] (the instance list), [entries], [application] and [admins]
 * (the admin interfaces of all daemons) are base URLs. [ticket] is the path of the change ticket to submit, [key] the
 * bearer key of the callers' workspace. [rows] are the daemons as the instance list describes them.
 */
@Serializable
internal data class SoakLayout(
    val store: String,
    val list: String,
    val ticket: String,
    val key: String,
    val model: String,
    val modelLayers: Int,
    val service: String,
    val entries: List<String>,
    val application: String,
    val admins: List<String>,
    val rows: List<InstanceRow>,
)

/** Reads the layout file written by `bin/soak`. */
internal fun readLayout(file: Path): SoakLayout =
    Yaml.default.decodeFromString(SoakLayout.serializer(), file.readText())
