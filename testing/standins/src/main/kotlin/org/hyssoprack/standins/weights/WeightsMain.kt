package org.hyssoprack.standins.weights

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import org.hyssoprack.standins.platform.serve

/** Stand-in for the platform's rate-limited weight store. */
fun main(args: Array<String>) {
    val parser = ArgParser("standin-weights")
    val address by parser.option(ArgType.String, description = "ip:port to listen on").required()
    val perSecond by parser.option(
        ArgType.Int,
        fullName = "calls-per-second",
        description = "rate limit; 0 for none"
    ).default(DEFAULT_CALLS_PER_SECOND)
    parser.parse(args)
    val routes = WeightRoutes(perSecond = perSecond)
    serve(name = "weights", address = address) { routes.install(this) }.await()
}

private const val DEFAULT_CALLS_PER_SECOND = 10
