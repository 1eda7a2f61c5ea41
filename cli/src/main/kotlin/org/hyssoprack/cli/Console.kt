package org.hyssoprack.cli

import java.io.PrintStream
import org.hyssoprack.common.Failure

/** Prints the output of commands, and maps failures to messages and exit statuses. */
internal class Console(
    private val out: PrintStream = System.out,
    private val err: PrintStream = System.err
) {
    fun printLine(text: String) = out.println(text)

    fun print(text: String) {
        out.print(text)
        out.flush()
    }

    fun printNotice(text: String) = err.println(text)

    /** Prints [failure] and returns the exit status: the first digit of the code's number. */
    fun printFailure(failure: Failure): Int {
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
