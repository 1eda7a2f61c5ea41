package org.hyssoprack.cli

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import kotlinx.cli.ArgType
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.ResultCodeTable
import org.hyssoprack.policy.DefaultPolicyCompiler
import org.hyssoprack.settings.BundleCompiler

/** Checks a bundle, or a policy if the file name ends in `.hys`. */
internal class CheckCommand(console: Console) :
    Command("check", "Check a bundle (JSON) or a policy (.hys)", console) {
    private val file by argument(ArgType.String, description = "file to check")

    override fun run(): Either<Failure, Unit> = either {
        val text = readFile(file).bind()
        if (file.endsWith(POLICY_SUFFIX)) checkPolicy(text).bind() else checkBundle(text).bind()
        console.printLine("$file: no faults")
    }

    private fun checkPolicy(text: String): Either<Failure, Unit> =
        DefaultPolicyCompiler().compile(text).map { }.mapLeft { faults ->
            Failure(faults.first().code, faults.joinToString("\n") { "$file:$it" })
        }

    private fun checkBundle(text: String): Either<Failure, Unit> =
        BundleCompiler().compile(text).map { }.mapLeft { BundleCompiler.failure(it) }

    private companion object {
        const val POLICY_SUFFIX = ".hys"
    }
}

/** Prints the hash of a key, read from standard input to keep the key out of shell histories. */
internal class HashKeyCommand(console: Console, private val input: () -> String? = ::readLine) :
    Command("hash-key", "Print the hash of a key read from standard input", console) {
    override fun run(): Either<Failure, Unit> {
        val key = input()?.trim().orEmpty()
        if (key.isEmpty()) {
            return Failure(ResultCode.KEY_MISSING, "no key given on standard input").left()
        }
        console.printLine(ContentHash.of(key).value)
        return Unit.right()
    }
}

/** Prints the table of result codes. */
internal class ResultCodesCommand(console: Console) :
    Command("result-codes", "Print the table of result codes", console) {
    override fun run(): Either<Failure, Unit> {
        console.printLine(ResultCodeTable.markdown())
        return Unit.right()
    }
}
