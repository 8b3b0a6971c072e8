package io.mimosatrail.daemon.settings

/** An invalid setting. [value] is null if it is missing or secret. */
data class SettingFault(val flag: String, val value: String?, val allowed: String) {
    override fun toString(): String =
        if (value == null) "$flag is missing or invalid, must be $allowed" else "$flag is \"$value\", must be $allowed"
}
