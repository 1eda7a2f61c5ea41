package org.hyssoprack.backend.http

import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.hyssoprack.backend.EngineCall
import org.hyssoprack.backend.EngineEvent
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.ModelId
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.RequestId
import org.hyssoprack.standins.engine.EngineFaults
import org.hyssoprack.standins.engine.EngineServer
import org.hyssoprack.standins.engine.EngineSettings
import org.hyssoprack.store.BackendServer
import org.hyssoprack.store.BackendServerKind

/** An emulated engine in this process and a client connected to it. */
internal class EngineFixture(slots: Int = 8, graceMs: Long = 2_000) : AutoCloseable {
    private val engine = EngineServer(
        EngineSettings(
            address = "127.0.0.1:0",
            id = BackendServerId("e1"),
            model = ModelId("m"),
            slots = slots,
            tokenMs = 2.0,
            canSuspend = true,
            checksFencing = true,
            reportLagMs = 0,
            eventLagMs = 0,
            eventLoss = 0.0,
            graceMs = graceMs
        )
    )
    val server = server(engine.start())
    val client = HttpEngineClient()

    fun faults(faults: EngineFaults) = engine.setFaults(faults)

    fun stopEngine() = engine.close()

    fun events(call: EngineCall): List<EngineEvent> = runBlocking {
        withTimeout(TEST_LIMIT_MS) { client.complete(server, call).toList() }
    }

    override fun close() {
        client.close()
        engine.close()
    }

    companion object {
        const val TEST_LIMIT_MS = 30_000L

        fun server(address: NetworkAddress) = BackendServer(
            id = BackendServerId("e1"),
            kind = BackendServerKind.ENGINE,
            address = address,
            domain = FailureDomain("d1"),
            model = ModelId("m")
        )

        fun call(
            id: String = "h1~a~1",
            tokens: Int = 8,
            path: String = "/v1/completions",
            tokenTimeoutMs: Long = 1_000,
            firstTokenTimeoutMs: Long = 3_000
        ) = EngineCall(
            requestId = RequestId(id),
            path = path,
            body = body(path, tokens),
            firstTokenTimeoutMs = firstTokenTimeoutMs,
            tokenTimeoutMs = tokenTimeoutMs
        )

        private fun body(path: String, tokens: Int): String {
            val prompt = if (path.contains("chat")) {
                """"messages":[{"role":"user","content":"[mark] hello"}]"""
            } else {
                """"prompt":"[mark] hello""""
            }
            return """{"model":"m",$prompt,"max_tokens":$tokens,"stream":true}"""
        }
    }
}
