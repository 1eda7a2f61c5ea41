package org.hyssoprack.standins.platform

import io.ktor.server.engine.EmbeddedServer

/** An HTTP server that is listening. */
internal class RunningServer(private val server: EmbeddedServer<*, *>) : AutoCloseable {
    /** Blocks until the process exits. */
    fun await() = Thread.currentThread().join()

    override fun close() = server.stop(gracePeriodMillis = 0, timeoutMillis = 0)
}
