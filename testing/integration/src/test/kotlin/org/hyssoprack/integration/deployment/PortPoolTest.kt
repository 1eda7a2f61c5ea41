package org.hyssoprack.integration.deployment

import assertk.assertThat
import assertk.assertions.hasSize
import assertk.assertions.isLessThan
import java.nio.file.Path
import kotlin.io.path.readText
import net.jqwik.api.Example

class PortPoolTest {
    @Example
    fun `no address has a port that the system gives to outgoing connections`() {
        val range = Path.of("/proc/sys/net/ipv4/ip_local_port_range").readText()
        val firstOutgoing = range.trim().substringBefore('\t').toInt()
        val pool = PortPool()
        val ports = List(ADDRESSES) { pool.next().substringAfter(':').toInt() }
        assertThat(ports.max()).isLessThan(firstOutgoing)
        assertThat(ports.toSet()).hasSize(ADDRESSES)
    }

    private companion object {
        const val ADDRESSES = 100
    }
}
