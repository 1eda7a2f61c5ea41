package org.hyssoprack.bench.capacity

import java.nio.file.Files
import java.nio.file.Path
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default

/** Measures the slopes of docs/CAPACITY.md, prints them as a table and writes them as JSON. */
fun main(args: Array<String>) {
    val parser = ArgParser("bench capacity")
    val out by parser.option(ArgType.String, "out", description = "file for the JSON report")
        .default("capacity.json")
    val only by parser.option(
        ArgType.String,
        "only",
        description = "one part: ${CapacityBenchmark.optionValues()}"
    )
    val largest by parser.option(ArgType.Int, "largest", description = "most simulated members")
        .default(MOST_MEMBERS)
    parser.parse(args)
    val benchmarks = CapacityBenchmark.entries.filter { only == null || it.optionValue == only }
    val reports = benchmarks.map { it.measure(largest) }
    val report = CapacityReport(
        slopes = reports.flatMap { it.slopes },
        figures = reports.flatMap { it.figures }
    )
    println(report.table())
    Files.writeString(Path.of(out), report.json())
}

private const val MOST_MEMBERS = 1_200
