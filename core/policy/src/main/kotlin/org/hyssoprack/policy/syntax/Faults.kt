package org.hyssoprack.policy.syntax

import org.hyssoprack.common.ResultCode
import org.hyssoprack.policy.PolicyFault

/** Returns a syntax error at [at]. */
internal fun syntaxFault(
    at: Position,
    detail: String,
    expected: List<String> = emptyList()
): PolicyFault = PolicyFault(
    code = ResultCode.POLICY_SYNTAX,
    line = at.line,
    column = at.column,
    detail = detail,
    expected = expected
)

/** Returns a violation of a rule of the language at [at]. */
internal fun ruleFault(at: Position, detail: String): PolicyFault = PolicyFault(
    code = ResultCode.POLICY_RULE,
    line = at.line,
    column = at.column,
    detail = detail
)
