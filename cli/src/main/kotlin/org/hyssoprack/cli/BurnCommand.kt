package org.hyssoprack.cli

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.hyssoprack.burn.BurnReport
import org.hyssoprack.burn.BurnSnapshot
import org.hyssoprack.burn.HtmlReport
import org.hyssoprack.burn.TextReport
import org.hyssoprack.common.Failure
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ResultCode

/** Reports the burn of the error budgets, merged from all given hosts. */
internal class BurnCommand(console: Console, environment: (String) -> String?) :
    OperatorCommand("burn", "Report the use of the error budgets", console, environment) {
    private val json by option(ArgType.Boolean, description = "print JSON").default(false)
    private val html by option(ArgType.String, description = "write an HTML page to this file")

    override suspend fun Raise<Failure>.runWith(api: OperatorApiClient) {
        val addresses = options.addresses().bind()
        val answers = coroutineScope {
            addresses.map { async { snapshot(api, it) } }.awaitAll()
        }
        val snapshots = answers.mapNotNull { it.getOrNull() }
        val merged = BurnSnapshot.merge(snapshots) ?: raise(answers.first().leftOrNull()!!)
        val missing = addresses.filterIndexed { index, _ -> answers[index].isLeft() }
        val report = BurnReport.of(merged, missing = missing.map { it.toString() })
        write(report)
    }

    private suspend fun snapshot(
        api: OperatorApiClient,
        address: NetworkAddress
    ): Either<Failure, BurnSnapshot> = either { decode(api.getFrom(address, "/v1/burn").bind()) }

    private fun Raise<Failure>.write(report: BurnReport) {
        val file = html
        if (file != null) writeFile(file, HtmlReport.write(report))
        if (json) console.printLine(report.json()) else console.print(TextReport.write(report))
    }

    private fun Raise<Failure>.writeFile(name: String, text: String) = try {
        Path.of(name).writeText(text)
    } catch (e: IOException) {
        raise(Failure(ResultCode.INTERNAL, "$name cannot be written: ${e.message}"))
    }
}
