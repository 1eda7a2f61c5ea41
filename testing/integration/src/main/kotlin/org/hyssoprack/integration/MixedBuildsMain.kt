package org.hyssoprack.integration

import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import org.hyssoprack.integration.schedule.MixedBuildsRun

/** Runs hosts of an earlier build and of this build together; exits with status 1 on a problem. */
fun main(args: Array<String>) {
    val parser = ArgParser("mixed-builds")
    val earlier by parser.option(
        ArgType.String,
        "earlier",
        description = "class path of the earlier build"
    ).required()
    val logs by parser.option(ArgType.String, description = "directory for the logs")
    parser.parse(args)
    val directory = logs?.let { Files.createDirectories(Path.of(it)) }
        ?: Files.createTempDirectory("hyssoprack-mixed")
    val problems = runBlocking { MixedBuildsRun(earlier, directory).run() }
    println("logs in $directory")
    problems.forEach(::println)
    println("${problems.size} faults")
    exitProcess(if (problems.isEmpty()) 0 else 1)
}
