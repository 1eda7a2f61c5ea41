package org.hyssoprack.cli

import arrow.core.Either
import arrow.core.raise.either
import java.nio.file.Path
import kotlinx.cli.ArgType
import kotlinx.cli.vararg
import org.hyssoprack.common.Failure
import org.hyssoprack.explain.HostLogReader
import org.hyssoprack.explain.RequestExplainer

/** Determines from the hosts' logs why a request ended as it did. */
internal class ExplainCommand(console: Console) :
    Command("explain", "Tell from logs why a request ended: explain ID a.log b.log", console) {
    private val id by argument(ArgType.String, description = "the request's id")
    private val files by argument(ArgType.String, description = "logs of all hosts").vararg()

    override fun run(): Either<Failure, Unit> = either {
        val events = HostLogReader.read(files.map { Path.of(it) }).bind()
        val found = RequestExplainer(events).explain(id).bind()
        console.printLine("${found.cause.name.lowercase().replace('_', '-')}: ${found.summary}")
        found.evidence.forEach { console.printLine("  $it") }
    }
}
