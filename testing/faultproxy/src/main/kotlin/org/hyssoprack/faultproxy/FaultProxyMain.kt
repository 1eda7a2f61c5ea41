package org.hyssoprack.faultproxy

import java.nio.file.Path
import kotlin.io.path.readText
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.TinylogEventLog
import org.hyssoprack.common.eq

/** Runs the fault proxy as a separate process. */
fun main(args: Array<String>) {
    val parser = ArgParser("faultproxy")
    val control by parser.option(ArgType.String, description = "ip:port of the control server")
        .required()
    val file by parser.option(ArgType.String, description = "JSON file of the listeners")
        .required()
    parser.parse(args)
    val settings = Json.decodeFromString<ProxySettings>(Path.of(file).readText())
    val address = requireNotNull(NetworkAddress.parse(control)) {
        "--control must be ip:port, got $control"
    }
    val proxy = FaultProxy(settings = settings, control = address)
    runBlocking { proxy.start() }
    TinylogEventLog().event("ready", "faultproxy" eq address)
    Thread.currentThread().join()
}
