package org.hyssoprack.link.tcp

import assertk.assertThat
import assertk.assertions.isEqualTo
import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.LogField
import org.hyssoprack.common.NetworkAddress

class BrokenLinkTest {
    private class Case(val name: String, val error: String, val end: RawPeer.() -> Unit)

    private val cases = listOf(
        Case("closed between two frames", "the peer closed the connection") { close() },
        Case("closed within the length of a frame", WITHIN_FRAME) {
            writePart(byteArrayOf(0, 0))
            close()
        },
        Case("closed after the length of a frame", WITHIN_FRAME) {
            writeLength(100)
            close()
        },
        Case("closed within the body of a frame", WITHIN_FRAME) {
            writeLength(100)
            writePart(ByteArray(10))
            close()
        },
        Case("reset", "Connection reset") { reset() }
    )

    @Example
    fun `the log says how a peer's connection ended`() = runBlocking {
        for (case in cases) {
            val log = ErrorLog()
            val link = open(log)
            RawPeer.connect(link.address).use { peer ->
                peer.sendHello("b", incarnation = 1)
                peer.read()
                case.end(peer)
                withTimeout(WAIT_MS) { while (log.errors.isEmpty()) delay(POLL_MS) }
            }
            link.close()
            assertThat(log.errors.single(), case.name).isEqualTo(case.error)
        }
    }

    private suspend fun open(log: EventLog): TcpLink = TcpLink.open(
        HostRef(HostId("a"), Incarnation(1)),
        NetworkAddress("127.0.0.1", 0),
        notes,
        // A heartbeat that the peer has not read would turn its end into a reset.
        settings = LinkSettings(heartbeatMs = 60_000, idleMs = 600_000),
        log = log
    ).fold({ error("$it") }, { it })

    /** Keeps the errors of broken connections. */
    private class ErrorLog : EventLog {
        val errors = CopyOnWriteArrayList<String>()

        override fun event(name: String, vararg fields: LogField) {
            if (name == "link-broken") errors += "${fields.first { it.key == "error" }.value}"
        }
    }

    private companion object {
        const val WITHIN_FRAME = "the peer's connection ended within a frame"
        const val WAIT_MS = 10_000L
        const val POLL_MS = 10L
    }
}
