package org.hyssoprack.policy

import org.hyssoprack.common.ResultCode

/**
 * A fault in a policy text.
 *
 * @property line line of the fault, from 1.
 * @property column column of the fault, from 1.
 * @property expected what would have been accepted there; empty for a broken rule.
 */
data class PolicyFault(
    val code: ResultCode,
    val line: Int,
    val column: Int,
    val detail: String,
    val expected: List<String> = emptyList()
) {
    override fun toString(): String {
        val hint = if (expected.isEmpty()) "" else "; expected ${expected.joinToString(" or ")}"
        return "$line:$column: ${code.number} ${code.wireName}: $detail$hint"
    }
}
