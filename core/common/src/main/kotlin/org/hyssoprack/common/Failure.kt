package org.hyssoprack.common

/**
 * An error as a value.
 *
 * @property code what went wrong, from the table in docs/RESULT-CODES.md.
 * @property detail one sentence for the reader of the error.
 * @property retryAfterMs when trying again makes sense, in milliseconds from now; null if unknown.
 */
data class Failure(val code: ResultCode, val detail: String, val retryAfterMs: Long? = null) {
    override fun toString(): String = "${code.number} ${code.wireName}: $detail"
}
