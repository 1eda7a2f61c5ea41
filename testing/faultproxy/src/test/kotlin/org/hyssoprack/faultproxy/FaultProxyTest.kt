package org.hyssoprack.faultproxy

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isNotEqualTo
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import net.jqwik.api.Example
import org.hyssoprack.common.NetworkAddress

class FaultProxyTest {
    private enum class Echo { ANSWERED, NO_REPLY, CLOSED, REFUSED }

    private data class Case(
        val name: String,
        val faults: ListenerFaults,
        val echo: Echo,
        val reachesTarget: Boolean
    )

    private val cases = listOf(
        Case("no fault", ListenerFaults(), Echo.ANSWERED, reachesTarget = true),
        Case("delay", ListenerFaults(up = DirectionFaults(delayMs = 50)), Echo.ANSWERED, true),
        Case("one-way cut up", ListenerFaults(up = SILENT), Echo.NO_REPLY, reachesTarget = false),
        Case("one-way cut down", ListenerFaults(down = SILENT), Echo.NO_REPLY, true),
        Case(
            "dropped",
            ListenerFaults(up = DirectionFaults(dropShare = 1.0)),
            Echo.NO_REPLY,
            false
        ),
        Case("cut", ListenerFaults(up = DirectionFaults(cutShare = 1.0)), Echo.CLOSED, false),
        Case("reply lost", ListenerFaults(loseReplyShare = 1.0), Echo.CLOSED, reachesTarget = true),
        Case("refused", ListenerFaults(refuse = true), Echo.REFUSED, reachesTarget = false)
    )

    @Example
    fun `each fault has its expected effect on the client and on the target`() =
        cases.forEach { case ->
            withProxy { echo, proxy, control ->
                control.set(case.faults)
                assertThat(echoOnce(proxy, expected = case.echo), case.name).isEqualTo(case.echo)
                assertThat(echo.received.get() > 0, case.name).isEqualTo(case.reachesTarget)
            }
        }

    @Example
    fun `silenced connections stay open and carry no data while new ones work`() =
        withProxy { _, proxy, control ->
            connect(proxy).use { old ->
                assertThat(exchange(old)).isEqualTo(Echo.ANSWERED)
                control.post("/listeners/l/silence")
                assertThat(exchange(old, expected = Echo.NO_REPLY)).isEqualTo(Echo.NO_REPLY)
                assertThat(echoOnce(proxy)).isEqualTo(Echo.ANSWERED)
            }
        }

    @Example
    fun `a cut closes all open connections`() = withProxy { _, proxy, control ->
        connect(proxy).use { old ->
            assertThat(exchange(old)).isEqualTo(Echo.ANSWERED)
            control.post("/listeners/l/cut")
            assertThat(exchange(old)).isEqualTo(Echo.CLOSED)
        }
    }

    @Example
    fun `a listener that refused connections accepts them again after a clear`() = withProxy {
            _,
            proxy,
            control
        ->
        control.set(ListenerFaults(refuse = true))
        assertThat(echoOnce(proxy)).isEqualTo(Echo.REFUSED)
        control.post("/clear")
        assertThat(echoOnce(proxy)).isNotEqualTo(Echo.REFUSED)
    }

    private fun echoOnce(port: Int, expected: Echo = Echo.ANSWERED): Echo = try {
        connect(port).use { exchange(it, expected) }
    } catch (_: IOException) {
        Echo.REFUSED
    }

    // A short timeout shows that no reply comes; a reply may take long on a busy machine.
    private fun exchange(socket: Socket, expected: Echo = Echo.ANSWERED): Echo = try {
        socket.soTimeout = if (expected == Echo.NO_REPLY) NO_REPLY_WAIT_MS else ANSWER_TIMEOUT_MS
        socket.getOutputStream().write(7)
        if (socket.getInputStream().read() == 7) Echo.ANSWERED else Echo.CLOSED
    } catch (_: SocketTimeoutException) {
        Echo.NO_REPLY
    } catch (_: IOException) {
        Echo.CLOSED
    }

    private fun connect(port: Int) = Socket(InetAddress.getLoopbackAddress(), port)

    private fun withProxy(block: (EchoServer, Int, ControlClient) -> Unit) =
        EchoServer().use { echo ->
            val port = freePort()
            val control = NetworkAddress(ip = "127.0.0.1", port = freePort())
            val listener = ListenerSettings("l", "127.0.0.1:$port", "127.0.0.1:${echo.port}")
            FaultProxy(ProxySettings(listOf(listener)), control).use {
                runBlocking { it.start() }
                block(echo, port, ControlClient(control))
            }
        }

    private fun freePort(): Int =
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }

    private class ControlClient(private val address: NetworkAddress) {
        private val client = HttpClient.newHttpClient()

        fun set(faults: ListenerFaults) =
            send("PUT", "/listeners/l/faults", Json.encodeToString(faults))

        fun post(path: String) = send("POST", path, "")

        private fun send(method: String, path: String, body: String) {
            val request = HttpRequest.newBuilder(URI("http://$address$path"))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build()
            val answer = client.send(request, HttpResponse.BodyHandlers.ofString())
            assertThat(answer.statusCode()).isEqualTo(200)
        }
    }

    private companion object {
        const val NO_REPLY_WAIT_MS = 400
        const val ANSWER_TIMEOUT_MS = 20_000
        val SILENT = DirectionFaults(silent = true)
    }
}
