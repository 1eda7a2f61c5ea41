package org.hyssoprack.policy

import arrow.core.EitherNel
import arrow.core.NonEmptyList
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import org.hyssoprack.policy.check.PolicyChecker
import org.hyssoprack.policy.syntax.Lexer
import org.hyssoprack.policy.syntax.Parser
import org.hyssoprack.policy.syntax.PolicyPrinter
import org.hyssoprack.policy.syntax.PolicyTree
import org.hyssoprack.policy.syntax.Position
import org.hyssoprack.policy.syntax.syntaxFault

/**
 * Compiles the policy language of docs/POLICY.md. The rules are only checked if the text has no
 * syntax error, as partly parsed statements would cause rule violations of their own.
 */
class DefaultPolicyCompiler : PolicyCompiler {
    override fun compile(text: String): EitherNel<PolicyFault, CompiledPolicy> =
        parse(text).flatMap { tree -> PolicyChecker.check(tree).mapLeft { sortedAndLimited(it) } }

    /** Returns [text] in the standard layout with its comments, or its syntax errors. */
    fun format(text: String): EitherNel<PolicyFault, String> =
        parse(text).map { PolicyPrinter().print(it) }

    private fun parse(text: String): EitherNel<PolicyFault, PolicyTree> {
        if (text.length > MAX_TEXT_CHARS) return sortedAndLimited(listOf(textTooLong(text))).left()
        val lexer = Lexer(text)
        val parser = Parser(lexer.tokens())
        val tree = parser.policy()
        val faults = lexer.faults + parser.faults
        return if (faults.isEmpty()) tree.right() else sortedAndLimited(faults).left()
    }

    private fun textTooLong(text: String): PolicyFault = syntaxFault(
        at = Position(line = 1, column = 1),
        detail = "the policy text has ${text.length} characters",
        expected = listOf("at most $MAX_TEXT_CHARS characters")
    )

    private fun sortedAndLimited(faults: List<PolicyFault>): NonEmptyList<PolicyFault> {
        val sorted = faults.sortedWith(compareBy({ it.line }, { it.column }))
        return sorted.take(MAX_FAULTS).toNonEmptyListOrNull()!!
    }

    companion object {
        /** Maximum length of a policy text in UTF-16 code units. */
        const val MAX_TEXT_CHARS = 4_000_000

        /** Maximum number of faults in one report. */
        const val MAX_FAULTS = 100
    }
}
