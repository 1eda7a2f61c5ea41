package org.hyssoprack.policy

import org.hyssoprack.common.ResultCode

/**
 * An error in a policy text: a syntax error or a violation of a rule of the language.
 *
 * @property line line of the error, from 1.
 * @property column column of the error, from 1.
 * @property expected what the language accepts at this position; empty for a rule violation.
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
