@file:OptIn(kotlinx.cli.ExperimentalCli::class)

package org.hyssoprack.bench

import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.createTempDirectory
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.system.exitProcess
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.vararg
import kotlinx.serialization.json.Json
import org.hyssoprack.bench.cost.CostLoad
import org.hyssoprack.bench.cost.EngineClientCost
import org.hyssoprack.bench.cost.HostCost
import org.hyssoprack.bench.experiment.Experiment
import org.hyssoprack.bench.experiment.Variant
import org.hyssoprack.bench.report.SvgChart
import org.hyssoprack.bench.report.TextTable
import org.hyssoprack.burn.BurnReport
import org.hyssoprack.burn.TextReport
import org.tinylog.configuration.Configuration

/** Entry point of the load tool; see `--help`. */
fun main(args: Array<String>) {
    Configuration.replace(mapOf("writer" to "console", "level" to "warn"))
    val parser = ArgParser("bench")
    parser.subcommands(RunExperiments(), MeasureCost())
    parser.parse(args)
    exitProcess(0)
}

private class RunExperiments : Subcommand("run", "Run experiments and write their results") {
    private val files by argument(ArgType.String, description = "Experiment files").vararg()
    private val results by option(ArgType.String, "results", description = "Directory of results")
        .default("bench/results")
    private val variants by option(ArgType.String, "variants", description = "Names, with commas")
        .default("")
    private val burn by option(ArgType.Boolean, "burn", description = "Print the burn report")
        .default(false)

    override fun execute() {
        val only = variants.split(',').filter { it.isNotBlank() }
        files.forEach { run(Path.of(it), only) }
    }

    private fun run(file: Path, only: List<String>) {
        val experiment = Json.decodeFromString<Experiment>(file.readText())
        val work = createTempDirectory("bench-${experiment.name}-")
        val report = ExperimentRunner(experiment, work, ::printBurn).run(only)
        println(TextTable.of(report))
        println("logs: $work")
        val directory = Path.of(results).createDirectories()
        val json = Json { prettyPrint = true }
        directory.resolve("${experiment.name}.json").writeText(json.encodeToString(report) + "\n")
        directory.resolve("${experiment.name}.svg").writeText(SvgChart.of(report))
    }

    private fun printBurn(variant: Variant, report: BurnReport) {
        if (!burn) return
        println("${variant.name}:")
        println(TextReport.write(report))
    }
}

private class MeasureCost :
    Subcommand("cost", "Measure the cost of one host, or of the engine client alone") {
    private val what by argument(ArgType.Choice(listOf("host", "client"), { it }))
    private val results by option(ArgType.String, "results", description = "Directory of results")
        .default("bench/results")
    private val requestsPerS by option(ArgType.Double, "requests-per-s").default(133.0)
    private val tokensPerS by option(ArgType.Double, "tokens-per-s").default(29_000.0)
    private val warmUpS by option(ArgType.Int, "warm-up-s").default(10)
    private val durationS by option(ArgType.Int, "duration-s").default(20)

    override fun execute() {
        val work = createTempDirectory("bench-cost-")
        val load = CostLoad(
            requestsPerS = requestsPerS,
            tokensPerS = tokensPerS,
            warmUpS = warmUpS,
            durationS = durationS
        )
        val phases = when (what) {
            "client" -> listOf(EngineClientCost(load, work).run())
            else -> HostCost(load, work).run()
        }
        val text = Json { prettyPrint = true }.encodeToString(phases)
        println(text)
        println("logs: $work")
        Path.of(results).createDirectories().resolve("$what-cost.json").writeText(text + "\n")
    }
}
