package org.hyssoprack.cli

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli

/** The command line with all its subcommands. */
@OptIn(ExperimentalCli::class)
internal class Hyssoprack(
    private val console: Console,
    private val environment: (String) -> String? = System::getenv
) {
    /** Runs one subcommand and returns the exit status. */
    fun run(args: Array<String>): Int {
        val commands = commands()
        val parser = ArgParser(programName = "hyssoprack", strictSubcommandOptionsOrder = true)
        parser.subcommands(*commands.toTypedArray())
        parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
        return commands.firstNotNullOfOrNull { it.exitStatus } ?: 0
    }

    private fun commands(): List<Command> = listOf(
        CheckCommand(console),
        ProposeCommand(console, environment),
        ShowCommand(console, environment),
        DiffCommand(console, environment),
        SignOffCommand(console, environment),
        AcceptCommand(console, environment),
        HistoryCommand(console, environment),
        HostsCommand(console, environment),
        BackendServersCommand(console, environment),
        OwnersCommand(console, environment),
        DrainCommand(console, environment),
        BurnCommand(console, environment),
        OrderCommand(console, environment),
        HashKeyCommand(console),
        ResultCodesCommand(console),
        ExplainCommand(console),
        MetricsCommand(console),
        CompleteCommand(console, environment),
        CallCommand(console, environment)
    )
}
