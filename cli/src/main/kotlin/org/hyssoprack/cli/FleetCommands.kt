package org.hyssoprack.cli

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.encodeToString
import org.hyssoprack.burn.TextTable
import org.hyssoprack.common.Failure

/** Lists the hosts. */
internal class HostsCommand(console: Console, environment: (String) -> String?) :
    OperatorCommand("hosts", "List the hosts", console, environment) {
    override suspend fun Raise<Failure>.runWith(api: OperatorApiClient) {
        val head = listOf("host", "state", "domain", "region", "callers", "load", "bundle")
        val rows = decode<List<HostRow>>(api.get("/v1/hosts").bind()).map {
            listOf(it.host, it.state, it.domain, it.region, it.callers) +
                listOf("${it.load}%", "${it.bundle}")
        }
        console.print(TextTable(head, rows).text())
    }
}

/** Lists the backend servers. */
internal class BackendServersCommand(console: Console, environment: (String) -> String?) :
    OperatorCommand("backend-servers", "List the backend servers", console, environment) {
    override suspend fun Raise<Failure>.runWith(api: OperatorApiClient) {
        val head = listOf("id", "kind", "serves", "generation", "domain", "pool", "owner") +
            listOf("state", "limit", "lent")
        val rows = decode<List<BackendServerRow>>(api.get("/v1/backend-servers").bind()).map {
            listOf(it.id, it.kind, it.serves ?: "-", it.generation, it.domain, it.pool ?: "-") +
                listOf(it.owner ?: "-", if (it.leaving) "leaving" else "live") +
                listOf("${it.limit ?: "-"}", "${it.lent ?: "-"}")
        }
        console.print(TextTable(head, rows).text())
    }
}

/** Lists which host owns which backend servers. */
internal class OwnersCommand(console: Console, environment: (String) -> String?) :
    OperatorCommand("owners", "List which host owns which backend servers", console, environment) {
    override suspend fun Raise<Failure>.runWith(api: OperatorApiClient) {
        val servers = decode<List<BackendServerRow>>(api.get("/v1/backend-servers").bind())
        val rows = servers.groupBy { it.owner ?: "-" }.toSortedMap().map { (owner, owned) ->
            listOf(owner, "${owned.size}", owned.joinToString(" ") { it.id })
        }
        console.print(TextTable(listOf("owner", "servers", "ids"), rows).text())
    }
}

/** Drains one host, which exits once no request is in progress. */
internal class DrainCommand(console: Console, environment: (String) -> String?) :
    Command("drain", "Take a host out of service without cutting requests off", console) {
    private val options = ConnectionOptions(this, environment)
    private val host by argument(ArgType.String, description = "operators' address of the host")

    override fun run(): Either<Failure, Unit> = either {
        val key = options.key().bind()
        val address = ConnectionOptions.parseAddress(host).bind()
        runBlocking { OperatorApiClient(listOf(address), key).use { it.post("/v1/drain") } }.bind()
        console.printLine("$address is draining; it exits when no request is in progress")
    }
}

/** Orders a backend server to load a model. */
internal class OrderCommand(console: Console, environment: (String) -> String?) :
    OperatorCommand("order", "Let a backend server load a model", console, environment) {
    private val server by argument(ArgType.String, description = "id of the backend server")
    private val model by argument(ArgType.String, description = "model to load")
    private val version by argument(ArgType.String, description = "version of the model")
    private val adapters by option(ArgType.String, description = "adapters, separated by commas")
        .default("")
    private val role by option(ArgType.String, description = "role of the engine").default("mixed")

    override suspend fun Raise<Failure>.runWith(api: OperatorApiClient) {
        val order = OrderRequest(
            server = server,
            model = model,
            version = version,
            adapters = adapters.split(',').filter { it.isNotBlank() },
            role = role
        )
        console.printLine(api.post("/v1/orders", JSON.encodeToString(order)).bind())
    }
}
