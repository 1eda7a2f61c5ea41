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

/** A subcommand whose result becomes the exit status. */
@OptIn(ExperimentalCli::class)
internal abstract class Command(name: String, description: String, protected val console: Console) :
    Subcommand(name, description) {
    /** Exit status; null until the command has run. */
    var exitStatus: Int? = null
        private set

    override fun execute() {
        exitStatus = run().fold({ console.printFailure(it) }, { 0 })
    }

    /** Runs the command and prints its result. */
    protected abstract fun run(): Either<Failure, Unit>

    protected fun readFile(name: String): Either<Failure, String> = try {
        Path.of(name).readText().right()
    } catch (e: IOException) {
        Failure(ResultCode.SETTINGS_INVALID, "the file $name cannot be read: ${e.message}").left()
    }
}
