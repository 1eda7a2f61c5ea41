package org.hyssoprack.integration

import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import org.hyssoprack.common.TinylogEventLog
import org.hyssoprack.integration.schedule.RandomRun
import org.hyssoprack.integration.schedule.RandomRunSettings

private const val SHOWN_VIOLATIONS = 20

/** Runs random faults under traffic; exits with status 1 if a promise was broken. */
fun main(args: Array<String>) {
    val parser = ArgParser("long-run")
    val seed by parser.option(ArgType.Int, description = "seed of the schedule").default(1)
    val requests by parser.option(ArgType.Int, description = "calls to start").default(100_000)
    val faults by parser.option(ArgType.Int, description = "faults to inject").default(200)
    val rate by parser.option(ArgType.Int, description = "calls started per second").default(100)
    val logs by parser.option(ArgType.String, description = "directory for the logs")
    parser.parse(args)
    val directory = logs?.let { Files.createDirectories(Path.of(it)) }
        ?: Files.createTempDirectory("hyssoprack-run")
    val settings = RandomRunSettings(seed.toLong(), requests, faults, rate)
    val report = runBlocking { RandomRun(settings, directory, log = TinylogEventLog()).run() }
    println("seed $seed, logs in $directory")
    println(report.text())
    if (report.violations.isEmpty()) exitProcess(0)
    report.violations.take(SHOWN_VIOLATIONS).forEach(::println)
    println(
        "run again: bin/long-run --seed $seed --requests $requests --faults $faults --rate $rate"
    )
    exitProcess(1)
}
