package org.hyssoprack.daemon

import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.system.exitProcess
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.runBlocking
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.TinylogEventLog
import org.hyssoprack.common.eq

private const val PROGRAM = "hyssoprackd"
private const val VERSION = "0.1.0"
private const val EXIT_USAGE = 64
private const val EXIT_SETTINGS = 65
private const val EXIT_UNAVAILABLE = 69
private const val EXIT_INTERNAL = 70

/** Entry point of the daemon; see `--help`. */
@OptIn(ExperimentalCli::class)
fun main(args: Array<String>) {
    val parser = ArgParser(PROGRAM)
    val settings by parser.option(ArgType.String, "settings", "s", "Settings file in JSON")
    val version by parser.option(ArgType.Boolean, "version", "v", "Print the version")
        .default(false)
    val check = CheckSettings()
    parser.subcommands(check)
    parser.parse(args)
    if (version) return println("$PROGRAM $VERSION")
    if (check.done) return
    val file =
        settings ?: exitWith(EXIT_USAGE, "The option --settings FILE is missing; see --help.")
    runDaemon(readSettings(file))
}

/** Checks a settings file and reports every error. */
@OptIn(ExperimentalCli::class)
private class CheckSettings : Subcommand("check-settings", "Check a settings file") {
    private val file by argument(ArgType.String, description = "Settings file in JSON")
    var done = false
        private set

    override fun execute() {
        readSettings(file)
        println("$file is valid.")
        done = true
    }
}

private fun readSettings(file: String): DaemonSettings {
    val text = try {
        Path.of(file).readText()
    } catch (e: IOException) {
        exitWith(EXIT_SETTINGS, "$file cannot be read: ${e.message}")
    }
    return SettingsReader().read(text).fold(
        { errors -> exitWith(EXIT_SETTINGS, errors.joinToString("\n") { "$file: $it" }) },
        { it }
    )
}

private fun runDaemon(settings: DaemonSettings) {
    // Ktor's own hook would close the servers while requests are still in progress.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    val log = TinylogEventLog(listOf("self" eq settings.host))
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default + failureHandler(log))
    runBlocking {
        val runtime = HostRuntime.start(settings, scope, log).fold(
            { exitWith(EXIT_UNAVAILABLE, it.toString()) },
            { it }
        )
        // The hook runs on the first stop signal; later ones wait for it and interrupt no request.
        Runtime.getRuntime().addShutdownHook(
            Thread { runBlocking { runtime.drainAndWait() } }
        )
    }
    Thread.currentThread().join()
}

// A host with a failed task cannot serve requests; its peers take over once it has exited.
private fun failureHandler(log: EventLog) = CoroutineExceptionHandler { _, cause ->
    log.event("task-failed", "cause" eq cause.stackTraceToString().take(MAX_CAUSE_CHARS))
    Runtime.getRuntime().halt(EXIT_INTERNAL)
}

private const val MAX_CAUSE_CHARS = 2_000

private fun exitWith(status: Int, message: String): Nothing {
    System.err.println(message)
    exitProcess(status)
}
