package org.hyssoprack.bench.capacity

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.link.tcp.LinkSettings
import org.hyssoprack.link.tcp.TcpLink
import org.hyssoprack.membership.MemberMessage
import org.hyssoprack.membership.MemberStatus
import org.hyssoprack.membership.memberMessages

/** Measures the cost of open links and of messages over loopback sockets. */
internal class LinkCapacity {
    private val slopes = mutableListOf<Slope>()
    private val figures = mutableListOf<Figure>()

    fun measure(): CapacityReport = runBlocking(Dispatchers.Default) {
        run(hosts = WARM_UP_HOSTS, messagesPerSecond = WARM_UP_RATE)
        measurePairs()
        measureMessages()
        measureConnects()
        CapacityReport(slopes, figures)
    }

    private suspend fun measurePairs() {
        val runs = HOSTS.map { run(hosts = it, messagesPerSecond = PAIR_RATE) }
        slopes += slope("link in use: sent", "B/s", runs) { it.bytesPerSecond }
        slopes += slope("link in use: frames sent", "1/s", runs) { it.framesPerSecond }
        slopes += slope("link in use: both ends", "CPU us/s", runs) { it.cpuUsPerSecond }
        slopes += slope("link in use: heap of both ends", "B", runs) { it.heapBytes }
    }

    private fun slope(
        name: String,
        unit: String,
        runs: List<LinkRun>,
        value: (LinkRun) -> Double
    ): Slope = Slope.of(name, "host pairs", unit, runs.map { Point(it.pairs, value(it)) })

    private suspend fun measureMessages() {
        val runs = RATES.map { run(hosts = MESSAGE_HOSTS, messagesPerSecond = it) }
        val points = runs.map { Point(it.framesPerSecond, it.cpuUsPerSecond) }
        slopes += Slope.of("message: both ends", "messages/s", "CPU us/s", points)
        val bytes = runs.map { Point(it.framesPerSecond, it.bytesPerSecond) }
        slopes += Slope.of("message: sent", "messages/s", "B/s", bytes)
    }

    private suspend fun measureConnects() {
        val left = open(0)
        val right = open(1)
        val before = Meter.processCpuNanos()
        val sentBefore = left.metrics.bytesSent + right.metrics.bytesSent
        repeat(CONNECTS) {
            left.sendTo(right.address, message())
            right.incoming.receive()
            while (left.metrics.open > 0 || right.metrics.open > 0) delay(POLL_MS)
        }
        val cpu = (Meter.processCpuNanos() - before) / NANOS_PER_US / CONNECTS
        val sent = left.metrics.bytesSent + right.metrics.bytesSent - sentBefore
        figures +=
            Figure("link opened for one message until idle: sent", "B", sent / CONNECTS.toDouble())
        figures += Figure("link opened for one message until idle: both ends", "CPU us", cpu)
        left.close()
        right.close()
    }

    private suspend fun run(hosts: Int, messagesPerSecond: Double): LinkRun {
        val heapBefore = Meter.heapBytes()
        val links = List(hosts) { open(it) }
        val scope = CoroutineScope(Job() + Dispatchers.Default)
        links.forEach { link -> scope.launch { for (message in link.incoming) Unit } }
        links.forEachIndexed { index, link ->
            scope.launch { sendPings(links, index, messagesPerSecond) }
        }
        delay(SETTLE_MS)
        val heap = Meter.heapBytes() - heapBefore
        val start = LinkTotals.of(links)
        delay(RUN_MS)
        val end = LinkTotals.of(links)
        scope.cancel()
        links.forEach { it.close() }
        return LinkRun.between(start, end, hosts, heap)
    }

    // Each pair of hosts sends messages in one direction only; heartbeats flow in both directions.
    private suspend fun sendPings(links: List<TcpLink>, index: Int, messagesPerSecond: Double) {
        val intervalMs = (MS_PER_SECOND / messagesPerSecond).toLong()
        val peers = (index + 1 until links.size)
        peers.forEach { links[index].setAddress(host(it), links[it].address) }
        while (true) {
            peers.forEach { links[index].send(host(it), message()) }
            delay(intervalMs)
        }
    }

    private suspend fun open(index: Int): TcpLink = TcpLink.open(
        self = HostRef(host(index), Incarnation(FIRST_INCARNATION)),
        listen = NetworkAddress("127.0.0.1", 0),
        messages = memberMessages,
        settings = LinkSettings()
    ).fold({ error(it.toString()) }, { it })

    private fun host(index: Int) = HostId("h$index")

    private fun message() = MemberMessage.Ping(sequence = 1_000, status = MemberStatus(load = 50))

    private companion object {
        const val WARM_UP_HOSTS = 6
        const val WARM_UP_RATE = 200.0
        val HOSTS = listOf(4, 8, 12, 16, 20)
        const val PAIR_RATE = 1.0
        const val MESSAGE_HOSTS = 4
        val RATES = listOf(10.0, 50.0, 100.0, 200.0, 500.0)
        const val CONNECTS = 5
        const val SETTLE_MS = 2_000L
        const val RUN_MS = 8_000L
        const val POLL_MS = 50L
        const val MS_PER_SECOND = 1_000.0
        const val NANOS_PER_US = 1_000.0
        const val FIRST_INCARNATION = 1_764_000_000_000
    }
}
