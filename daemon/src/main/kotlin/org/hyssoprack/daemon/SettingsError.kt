package org.hyssoprack.daemon

import org.hyssoprack.common.ResultCode

/** One error in a settings file; [path] is the JSON path of the value, beginning with `$`. */
data class SettingsError(val path: String, val detail: String) {
    override fun toString(): String {
        val code = ResultCode.SETTINGS_INVALID
        return "$path: ${code.number} ${code.wireName}: $detail"
    }
}
