package org.hyssoprack.gateway.forwarding.failover

import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.delay
import org.hyssoprack.gateway.ResponseWriter

/** The response to one request, as its caller sees it. */
internal class RecordedResponse : ResponseWriter {
    private val body = StringBuilder()
    var status: Int? = null
        private set
    var isComplete = false
        private set
    var isAborted = false
        private set

    /** Ids of the received events, in order. */
    val events: List<Int>
        get() = ID.findAll(body).map { it.groupValues[1].toInt() }.toList()

    override val isStarted: Boolean get() = status != null

    override suspend fun answer(status: Int, headers: HttpHeaders, body: ByteArray) {
        this.status = status
        this.body.append(body.decodeToString())
        isComplete = true
    }

    override suspend fun start(status: Int, headers: HttpHeaders) {
        this.status = status
    }

    /** Time for which each write waits until the caller reads, in milliseconds. */
    var readDelayMs = 0L

    override suspend fun send(bytes: ByteArray) {
        body.append(bytes.decodeToString())
        delay(readDelayMs)
    }

    override suspend fun end() {
        isComplete = true
    }

    override fun abort() {
        isAborted = true
    }

    private companion object {
        val ID = Regex("""id: (\d+)""")
    }
}
