package org.hyssoprack.cli

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import io.ktor.http.isSuccess
import java.io.IOException
import java.net.ConnectException
import org.hyssoprack.common.ErrorBody
import org.hyssoprack.common.Failure
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ResultCode

/**
 * Client of the operators' API. Sends a call to the next of [addresses] if a host cannot be reached
 * or is isolated. Does not retry a call whose response was lost, unless it is a GET.
 */
internal class OperatorApiClient(
    private val addresses: List<NetworkAddress>,
    private val key: String
) : AutoCloseable {
    private val http = HttpClient(CIO) {
        expectSuccess = false
        install(HttpTimeout) {
            connectTimeoutMillis = CONNECT_TIMEOUT_MS
            requestTimeoutMillis = REQUEST_TIMEOUT_MS
        }
    }

    suspend fun get(path: String): Either<Failure, String> =
        callFirstAvailable(HttpMethod.Get, path, null)

    suspend fun post(path: String, body: String = ""): Either<Failure, String> =
        callFirstAvailable(HttpMethod.Post, path, body)

    /** Sends a GET only to the host at [address]. */
    suspend fun getFrom(address: NetworkAddress, path: String): Either<Failure, String> =
        send(address, HttpMethod.Get, path, null)

    override fun close() = http.close()

    private suspend fun callFirstAvailable(
        method: HttpMethod,
        path: String,
        body: String?
    ): Either<Failure, String> {
        var last = Failure(ResultCode.HOST_UNREACHABLE, "no host address given").left()
        for (address in addresses) {
            val result = send(address, method, path, body)
            val code = result.leftOrNull()?.code ?: return result
            if (code !in RETRY_ON_NEXT_HOST) return result
            last = result.leftOrNull()!!.left()
        }
        return last
    }

    private suspend fun send(
        address: NetworkAddress,
        method: HttpMethod,
        path: String,
        body: String?
    ): Either<Failure, String> = try {
        val response = http.request("http://$address$path") {
            this.method = method
            bearerAuth(key)
            if (body != null) setBody(body)
        }
        val text = response.bodyAsText()
        if (response.status.isSuccess()) text.right() else ErrorBody.read(text).left()
    } catch (e: ConnectException) {
        unreachable(address, e).left()
    } catch (e: IOException) {
        responseLost(address, method, e).left()
    }

    private fun responseLost(address: NetworkAddress, method: HttpMethod, e: IOException): Failure {
        // Ktor's ConnectTimeoutException is no ConnectException, but no request was sent either.
        val isConnect = e::class.simpleName == "ConnectTimeoutException"
        if (method == HttpMethod.Get || isConnect) return unreachable(address, e)
        val detail = "the response from $address was lost (${e.message}); check the history, " +
            "or repeat the same command, which is safe"
        return Failure(ResultCode.OUTCOME_UNDECIDED, detail)
    }

    private fun unreachable(address: NetworkAddress, e: IOException) =
        Failure(ResultCode.HOST_UNREACHABLE, "$address cannot be reached: ${e.message}")

    private companion object {
        const val CONNECT_TIMEOUT_MS = 2_000L
        const val REQUEST_TIMEOUT_MS = 20_000L
        val RETRY_ON_NEXT_HOST = setOf(ResultCode.HOST_UNREACHABLE, ResultCode.HOST_ISOLATED)
    }
}
