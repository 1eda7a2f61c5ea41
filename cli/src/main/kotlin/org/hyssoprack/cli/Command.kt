package org.hyssoprack.cli

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode

/** One subcommand. */
@OptIn(ExperimentalCli::class)
internal abstract class Command(name: String, description: String, protected val console: Console) :
    Subcommand(name, description) {
    /** Exit status; null as long as the command did not run. */
    var status: Int? = null
        private set

    override fun execute() {
        status = run().fold({ console.fail(it) }, { 0 })
    }

    /** Does the command's work and prints the result. */
    protected abstract fun run(): Either<Failure, Unit>

    protected fun readFile(name: String): Either<Failure, String> = try {
        Path.of(name).readText().right()
    } catch (e: IOException) {
        Failure(ResultCode.SETTINGS_INVALID, "the file $name cannot be read: ${e.message}").left()
    }
}
