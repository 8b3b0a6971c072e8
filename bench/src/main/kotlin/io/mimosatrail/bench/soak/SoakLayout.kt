package io.mimosatrail.bench.soak

import com.charleskorn.kaml.Yaml
import io.mimosatrail.standins.instances.InstanceRow
import kotlinx.serialization.Serializable
import java.nio.file.Path
import kotlin.io.path.readText

/** The processes that `bin/soak` started: base URLs of entries, applications and the platform, and the list's rows. */
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

/** Reads the layout that the script wrote. */
internal fun readLayout(file: Path): SoakLayout =
    Yaml.default.decodeFromString(SoakLayout.serializer(), file.readText())
