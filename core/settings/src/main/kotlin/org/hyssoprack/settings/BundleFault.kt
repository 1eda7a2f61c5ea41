package org.hyssoprack.settings

import org.hyssoprack.common.ResultCode

/**
 * A fault in a settings bundle.
 *
 * @property path JSON path of the invalid element, such as `$.accounts[2].name`.
 */
data class BundleFault(val code: ResultCode, val path: String, val detail: String) {
    override fun toString(): String = "$path: ${code.number} ${code.wireName}: $detail"
}
