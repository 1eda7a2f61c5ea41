package org.hyssoprack.standins.table

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import org.hyssoprack.standins.platform.serve

/** Stand-in for the platform's table service. */
fun main(args: Array<String>) {
    val parser = ArgParser("standin-table")
    val address by parser.option(ArgType.String, description = "ip:port to listen on").required()
    parser.parse(args)
    val routes = TableRoutes(scope = CoroutineScope(SupervisorJob() + Dispatchers.Default))
    serve(name = "table", address = address) { routes.install(this) }.await()
}
