package org.hyssoprack.cli

import java.io.PrintStream
import org.hyssoprack.common.Failure

/** Where commands write to, and how failures become messages and exit statuses. */
internal class Console(
    private val out: PrintStream = System.out,
    private val err: PrintStream = System.err
) {
    fun line(text: String) = out.println(text)

    fun text(text: String) {
        out.print(text)
        out.flush()
    }

    fun note(text: String) = err.println(text)

    /** Prints [failure] and returns the exit status: the first digit of the code's number. */
    fun fail(failure: Failure): Int {
        val code = failure.code
        err.println("${code.number} ${code.wireName} (${code.outcome.wireName})")
        err.println(failure.detail)
        failure.retryAfterMs?.let { err.println("Try again in $it ms.") }
        return code.number / CODES_PER_FAMILY
    }

    private companion object {
        const val CODES_PER_FAMILY = 1_000
    }
}
