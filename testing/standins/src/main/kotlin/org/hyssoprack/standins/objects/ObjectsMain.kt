package org.hyssoprack.standins.objects

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import org.hyssoprack.standins.platform.serve

/** Stand-in for the platform's object store. */
fun main(args: Array<String>) {
    val parser = ArgParser("standin-objects")
    val address by parser.option(ArgType.String, description = "ip:port to listen on").required()
    parser.parse(args)
    val routes = ObjectRoutes()
    serve(name = "objects", address = address) { routes.install(this) }.await()
}
