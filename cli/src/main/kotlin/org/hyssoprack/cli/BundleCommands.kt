package org.hyssoprack.cli

import arrow.core.raise.Raise
import kotlinx.cli.ArgType
import kotlinx.cli.optional
import kotlinx.cli.required
import org.hyssoprack.burn.TextTable
import org.hyssoprack.common.Failure
import org.hyssoprack.settings.AcceptedBundle

/** Proposes a bundle. */
internal class ProposeCommand(console: Console, environment: (String) -> String?) :
    OperatorCommand("propose", "Propose a bundle and print its hash", console, environment) {
    private val file by argument(ArgType.String, description = "bundle in JSON")

    override suspend fun Raise<Failure>.runWith(api: OperatorApiClient) {
        val body = readFile(file).bind()
        console.printLine(decode<ProposalResponse>(api.post("/v1/bundles", body).bind()).hash.value)
    }
}

/** Shows the bundle in force, or another one. */
internal class ShowCommand(console: Console, environment: (String) -> String?) :
    OperatorCommand("show", "Show a bundle, by default the active one", console, environment) {
    private val bundle by argument(ArgType.String, description = "bundle").optional()

    override suspend fun Raise<Failure>.runWith(api: OperatorApiClient) {
        console.printLine(BundleSource(api).json(bundle ?: BundleSource.ACTIVE).bind())
    }
}

/** Compares two bundles. */
internal class DiffCommand(console: Console, environment: (String) -> String?) :
    OperatorCommand("diff", "Compare two bundles", console, environment) {
    private val from by argument(ArgType.String, description = "active, VERSION, HASH or FILE")
    private val to by argument(ArgType.String, description = "active, VERSION, HASH or FILE")

    override suspend fun Raise<Failure>.runWith(api: OperatorApiClient) {
        val source = BundleSource(api)
        console.print(BundleDiff.text(source.bundle(from).bind(), source.bundle(to).bind()))
    }
}

/** Signs off a proposed bundle. */
internal class SignOffCommand(console: Console, environment: (String) -> String?) :
    OperatorCommand("sign-off", "Sign off another operator's bundle", console, environment) {
    private val hash by argument(ArgType.String, description = "hash of the bundle")

    override suspend fun Raise<Failure>.runWith(api: OperatorApiClient) {
        api.post("/v1/bundles/$hash/sign-off").bind()
        console.printLine("signed off")
    }
}

/** Accepts a bundle that was signed off. */
internal class AcceptCommand(console: Console, environment: (String) -> String?) :
    OperatorCommand("accept", "Put a signed-off bundle in force", console, environment) {
    private val hash by argument(ArgType.String, description = "hash of the bundle")
    private val base by option(
        ArgType.Int,
        fullName = "base",
        description = "version in force that the change is based on, 0 for none"
    ).required()

    override suspend fun Raise<Failure>.runWith(api: OperatorApiClient) {
        val answer = api.post("/v1/bundles/$hash/accept?base=$base").bind()
        console.printLine("accepted as version ${decode<ActiveBundleResponse>(answer).version}")
    }
}

/** Lists accepted bundles. */
internal class HistoryCommand(console: Console, environment: (String) -> String?) :
    OperatorCommand("history", "List accepted bundles, the newest first", console, environment) {
    override suspend fun Raise<Failure>.runWith(api: OperatorApiClient) {
        val bundles = decode<List<AcceptedBundle>>(api.get("/v1/bundles").bind())
        val rows = bundles.map { listOf("${it.version}", it.hash.value, "${it.acceptedBy}") }
        console.print(TextTable(listOf("version", "hash", "accepted by"), rows).text())
    }
}
