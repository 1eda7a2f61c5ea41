package org.hyssoprack.gateway.netty

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import java.net.InetAddress
import java.net.ServerSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.hyssoprack.common.Failure
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.gateway.RequestHandler
import org.hyssoprack.serving.settings.CallerLimits

/** A [CallerServer] on a free loopback address, with its own event loop. */
internal object LoopbackServer {
    private val errorResponses = object : ErrorResponses {
        override fun statusOf(failure: Failure) = failure.code.httpStatus

        override fun headersOf(failure: Failure): HttpHeaders = DefaultHttpHeaders()
    }

    /** Starts a server that passes requests to [handler]; returns its address. */
    fun start(handler: RequestHandler, limits: CallerLimits): NetworkAddress {
        val address = freeAddress()
        val loop = HostEventLoop()
        val scope = CoroutineScope(SupervisorJob() + loop.dispatcher)
        val server = CallerServer(loop, scope, handler, errorResponses, { limits })
        runBlocking { withContext(loop.dispatcher) { server.listen(address) } }
        return address
    }

    private fun freeAddress(): NetworkAddress {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        return NetworkAddress("127.0.0.1", port)
    }
}
