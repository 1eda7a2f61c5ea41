package org.hyssoprack.cli

import arrow.core.Either
import arrow.core.raise.either
import kotlinx.cli.ArgType
import kotlinx.cli.vararg
import org.hyssoprack.common.Failure
import org.hyssoprack.explain.MetricsSummary

/** Prints a summary of metrics saved from the hosts' metrics endpoints. */
internal class MetricsCommand(console: Console) :
    Command("metrics", "Add up saved metrics of hosts: metrics a.txt b.txt", console) {
    private val files by argument(ArgType.String, description = "metrics of each host").vararg()

    override fun run(): Either<Failure, Unit> = either {
        val texts = files.map { readFile(it).bind() }
        MetricsSummary(texts).lines().forEach { console.printLine(it) }
    }
}
