package org.hyssoprack.standins.hostlist

import java.nio.file.Path
import kotlin.io.path.readText
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import org.hyssoprack.standins.platform.StandInJson
import org.hyssoprack.standins.platform.serve
import org.hyssoprack.store.BackendServer

/** Stand-in for the platform's host list, which publishes changes with a lag. */
fun main(args: Array<String>) {
    val parser = ArgParser("standin-hostlist")
    val address by parser.option(ArgType.String, description = "ip:port to listen on").required()
    val lagMs by parser.option(
        ArgType.Int,
        fullName = "lag-ms",
        description = "delay until a change is visible, in milliseconds"
    ).default(0)
    val file by parser.option(ArgType.String, description = "JSON file of the backend servers")
    parser.parse(args)
    val servers = file?.let { Path.of(it).readText() } ?: "[]"
    val list = LaggingList(
        lagMs = lagMs.toLong(),
        first = StandInJson.decodeFromString<List<BackendServer>>(servers)
    )
    serve(name = "hostlist", address = address) { HostListRoutes(list).install(this) }.await()
}
