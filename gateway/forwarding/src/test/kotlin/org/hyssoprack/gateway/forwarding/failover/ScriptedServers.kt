package org.hyssoprack.gateway.forwarding.failover

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hyssoprack.common.Clock
import org.hyssoprack.common.Failure
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ResultCode
import org.hyssoprack.gateway.ResponsePart
import org.hyssoprack.gateway.ServerConnection
import org.hyssoprack.gateway.ServerConnections

/** Backend servers that respond as their scripts say, in virtual time. */
internal class ScriptedServers(private val scope: CoroutineScope, private val clock: Clock) :
    ServerConnections {
    private val scripts = HashMap<NetworkAddress, suspend (Response) -> Unit>()

    private var opened = 0

    /** Time that a connection takes, in milliseconds. */
    var openDelayMs = 0L

    /** Which of the connections, counted from 0, are refused. */
    var refusedOpens = IntRange.EMPTY

    /** Addresses that accept no connection. */
    val down = HashSet<NetworkAddress>()

    /** Exchanges in the order in which the requests were sent. */
    val exchanges = ArrayList<Exchange>()

    /** Sets what the server at [address] does with each request. */
    fun script(address: NetworkAddress, respond: suspend (Response) -> Unit) {
        scripts[address] = respond
    }

    override suspend fun open(
        address: NetworkAddress,
        connectTimeoutMs: Int,
        requestId: String?
    ): Either<Failure, ServerConnection> {
        delay(openDelayMs)
        val isRefused = opened++ in refusedOpens || address in down
        if (!isRefused) return Exchange(address).right()
        return Failure(ResultCode.BACKEND_REFUSED, "connection refused").left()
    }

    override fun forget(address: NetworkAddress) = Unit

    /** One request at a server; times are null until they are known. */
    inner class Exchange(val address: NetworkAddress) : ServerConnection {
        private val parts = ArrayDeque<ResponsePart>()
        private var arrival: CompletableDeferred<Unit>? = null
        private var serving: Job? = null
        var sentMs: Long? = null
            private set
        var closedMs: Long? = null
            private set

        var requestId = ""
            private set

        /** Whether the request was sent to a server before. */
        var isRepeat = false
            private set

        /** Last event that the caller had at the send. */
        var from = 0
            private set

        override val number = opened.toLong()
        override val exchangeCount = 1

        override fun send(
            method: HttpMethod,
            uri: String,
            headers: HttpHeaders,
            body: ByteArray,
            requestId: String?
        ) {
            sentMs = clock.nowMs()
            isRepeat = exchanges.any { it.requestId == headers[REQUEST_ID] }
            this.requestId = headers[REQUEST_ID]
            exchanges += this
            from = headers[LAST_EVENT_ID]?.toInt() ?: 0
            val shared = PlainWireFormat.partsOf(headers)
            val response = Response(headers[REQUEST_ID], from, shared) {
                parts += it
                arrival?.complete(Unit)
            }
            serving = scope.launch { scripts.getValue(address)(response) }
        }

        // A cancelled wait loses no part.
        override suspend fun next(): ResponsePart {
            while (parts.isEmpty()) CompletableDeferred<Unit>().also { arrival = it }.await()
            return parts.removeFirst()
        }

        override fun release(idleMs: Long) = Unit

        override fun close() {
            closedMs = clock.nowMs()
            serving?.cancel()
        }
    }

    /**
     * What a script sends.
     *
     * @property from last event that the caller has.
     * @property sharedParts parts of the request's prompt that others may share.
     */
    class Response(
        val requestId: String,
        val from: Int,
        val sharedParts: List<String>,
        private val put: (ResponsePart) -> Unit
    ) {
        fun head(status: Int = 200, pacePercent: Int? = null) {
            val head =
                DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
            head.headers().set(REQUEST_ID, requestId)
            pacePercent?.let { head.headers().set(PlainWireFormat.PACE, it) }
            put(ResponsePart.Head(head))
        }

        fun event(id: Int) {
            put(ResponsePart.Body("id: $id\ndata: $id\n\n".encodeToByteArray()))
        }

        fun bytes(text: String) {
            put(ResponsePart.Body(text.encodeToByteArray()))
        }

        fun end() {
            put(ResponsePart.End)
        }

        fun lose() {
            put(ResponsePart.Lost("closed"))
        }

        /** Sends the events after [from] up to [last], [gapMs] apart. */
        suspend fun events(last: Int, gapMs: Long = EVENT_GAP_MS) {
            for (id in from + 1..last) {
                event(id)
                delay(gapMs)
            }
        }
    }

    companion object {
        const val REQUEST_ID = "id"
        const val LAST_EVENT_ID = "last-event-id"
        private const val EVENT_GAP_MS = 50L
    }
}
