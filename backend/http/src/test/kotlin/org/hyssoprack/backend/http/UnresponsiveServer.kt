package org.hyssoprack.backend.http

import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.hyssoprack.backend.EngineCall
import org.hyssoprack.backend.EngineEvent
import org.hyssoprack.store.BackendServer

/** Accepts connections and never reads or writes. */
internal class UnresponsiveServer(private val socket: ServerSocket) {
    fun events(server: BackendServer, call: EngineCall): List<EngineEvent> {
        thread(isDaemon = true) { runCatching { while (true) socket.accept() } }
        return HttpEngineClient().use { client ->
            runBlocking {
                withTimeout(EngineFixture.TEST_LIMIT_MS) { client.complete(server, call).toList() }
            }
        }
    }
}
