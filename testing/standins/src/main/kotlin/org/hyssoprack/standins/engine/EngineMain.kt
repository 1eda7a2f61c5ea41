package org.hyssoprack.standins.engine

import java.nio.file.Path
import kotlin.io.path.readText
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.json.Json
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Generation
import org.hyssoprack.common.ModelId
import org.hyssoprack.common.eq
import org.hyssoprack.standins.common.StandInLog

/** Runs an emulated engine until the process is stopped. */
fun main(args: Array<String>) {
    val settings = parseEngineSettings(args)
    val log = StandInLog.open("server" eq settings.id)
    val address = EngineServer(settings = settings, log = log).start()
    log.event("engine-listening", "address" eq address, "slots" eq settings.slots)
    Thread.currentThread().join()
}

private fun parseEngineSettings(args: Array<String>): EngineSettings {
    val parser = ArgParser("engine")
    val file by parser.option(ArgType.String, "settings", description = "JSON settings file")
    val address by parser.option(ArgType.String, "address").default("127.0.0.1:0")
    val id by parser.option(ArgType.String, "id").default("engine")
    val model by parser.option(ArgType.String, "model").default("default")
    val generation by parser.option(ArgType.String, "generation").default("default")
    val slots by parser.option(ArgType.Int, "slots").default(16)
    val prefill by parser.option(ArgType.Double, "prefill-tokens-per-s").default(8_000.0)
    val tokenMs by parser.option(ArgType.Double, "token-ms").default(20.0)
    val slowdown by parser.option(ArgType.Double, "batch-slowdown").default(0.02)
    val cacheTokens by parser.option(ArgType.Int, "cache-tokens").default(100_000)
    val seed by parser.option(ArgType.Int, "seed").default(1)
    val canSuspend by parser.option(ArgType.Boolean, "can-suspend").default(false)
    val checksFencing by parser.option(ArgType.Boolean, "checks-fencing").default(false)
    val reportLagMs by parser.option(ArgType.Int, "report-lag-ms").default(1_000)
    val eventLagMs by parser.option(ArgType.Int, "event-lag-ms").default(500)
    val eventLoss by parser.option(ArgType.Double, "event-loss").default(0.02)
    parser.parse(args)
    file?.let { return Json.decodeFromString(Path.of(it).readText()) }
    return EngineSettings(
        address = address,
        id = BackendServerId(id),
        model = ModelId(model),
        generation = Generation(generation),
        slots = slots,
        prefillTokensPerS = prefill,
        tokenMs = tokenMs,
        batchSlowdown = slowdown,
        cacheTokens = cacheTokens,
        seed = seed.toLong(),
        canSuspend = canSuspend,
        checksFencing = checksFencing,
        reportLagMs = reportLagMs.toLong(),
        eventLagMs = eventLagMs.toLong(),
        eventLoss = eventLoss
    )
}
