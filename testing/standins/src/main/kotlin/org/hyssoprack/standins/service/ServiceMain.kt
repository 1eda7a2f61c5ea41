package org.hyssoprack.standins.service

import java.nio.file.Path
import kotlin.io.path.readText
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.json.Json
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.eq
import org.hyssoprack.standins.common.StandInLog

/** Runs an emulated plain service until the process is stopped. */
fun main(args: Array<String>) {
    val settings = parseServiceSettings(args)
    val log = StandInLog.open("server" eq settings.id)
    val address = ServiceServer(settings = settings, log = log).start()
    log.event("service-listening", "address" eq address, "slots" eq settings.slots)
    Thread.currentThread().join()
}

private fun parseServiceSettings(args: Array<String>): ServiceSettings {
    val parser = ArgParser("service")
    val file by parser.option(ArgType.String, "settings", description = "JSON settings file")
    val address by parser.option(ArgType.String, "address").default("127.0.0.1:0")
    val id by parser.option(ArgType.String, "id").default("service")
    val slots by parser.option(ArgType.Int, "slots").default(8)
    val latencyMs by parser.option(ArgType.Int, "latency-ms").default(20)
    val reportLagMs by parser.option(ArgType.Int, "report-lag-ms").default(1_000)
    parser.parse(args)
    file?.let { return Json.decodeFromString(Path.of(it).readText()) }
    return ServiceSettings(
        address = address,
        id = BackendServerId(id),
        slots = slots,
        latencyMs = latencyMs.toLong(),
        reportLagMs = reportLagMs.toLong()
    )
}
