package org.hyssoprack.common

/**
 * An error as a value.
 *
 * @property code kind of the error, as listed in docs/RESULT-CODES.md.
 * @property detail one sentence that describes the error to its reader.
 * @property retryAfterMs delay after which a retry may succeed, in milliseconds; null if unknown.
 */
data class Failure(val code: ResultCode, val detail: String, val retryAfterMs: Long? = null) {
    override fun toString(): String = "${code.number} ${code.wireName}: $detail"
}
