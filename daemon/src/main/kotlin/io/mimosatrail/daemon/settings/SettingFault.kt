package io.mimosatrail.daemon.settings

/** One bad setting. [value] is null where it is missing or secret. */
data class SettingFault(val flag: String, val value: String?, val allowed: String) {
    override fun toString(): String =
        if (value == null) "$flag is missing: give $allowed" else "$flag is \"$value\": allowed is $allowed"
}
