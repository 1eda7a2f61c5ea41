package org.hyssoprack.cli

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import org.hyssoprack.common.Failure
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ResultCode

/** The options for the hosts' addresses and the bearer key. */
@OptIn(ExperimentalCli::class)
internal class ConnectionOptions(
    command: Subcommand,
    private val environment: (String) -> String?
) {
    private val hosts by command.option(
        ArgType.String,
        fullName = "hosts",
        description = "addresses of hosts, ip:port,... (else $HOSTS_VARIABLE)"
    )
    private val keyFile by command.option(
        ArgType.String,
        fullName = "key-file",
        description = "file that holds the bearer key (else $KEY_VARIABLE)"
    )

    /** Returns the hosts' addresses, at least one. Fails with SETTINGS_INVALID. */
    fun addresses(): Either<Failure, List<NetworkAddress>> = either {
        val text = hosts ?: environment(HOSTS_VARIABLE)
            ?: raise(
                invalid("no hosts given; set --hosts ip:port,... or the variable $HOSTS_VARIABLE")
            )
        text.split(',').map { parseAddress(it.trim()).bind() }
    }

    /** Returns the bearer key. Fails with KEY_MISSING. */
    fun key(): Either<Failure, String> {
        val file = keyFile
        if (file == null) {
            val key = environment(KEY_VARIABLE)?.trim().orEmpty()
            return if (key.isEmpty()) keyMissing().left() else key.right()
        }
        return try {
            Path.of(file).readText().trim().right()
        } catch (e: IOException) {
            Failure(ResultCode.KEY_MISSING, "the key file cannot be read: ${e.message}").left()
        }
    }

    private fun keyMissing() = Failure(
        ResultCode.KEY_MISSING,
        "no key given; set --key-file or the variable $KEY_VARIABLE"
    )

    companion object {
        const val HOSTS_VARIABLE = "HYSSOPRACK_HOSTS"
        const val KEY_VARIABLE = "HYSSOPRACK_KEY"

        /** Parses `ip:port`. Fails with SETTINGS_INVALID. */
        fun parseAddress(text: String): Either<Failure, NetworkAddress> =
            NetworkAddress.parse(text)?.right()
                ?: invalid("'$text' is not an address of the form ip:port").left()

        private fun invalid(detail: String) = Failure(ResultCode.SETTINGS_INVALID, detail)
    }
}
