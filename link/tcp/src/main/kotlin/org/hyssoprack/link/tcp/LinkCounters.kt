package org.hyssoprack.link.tcp

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.LongAdder

/** [LinkMetrics] updated by the tasks of a link. */
internal class LinkCounters : LinkMetrics {
    val bytesOut = LongAdder()
    val bytesIn = LongAdder()
    val framesOut = LongAdder()
    val framesIn = LongAdder()
    val drops = LongAdder()
    val incomingDrops = LongAdder()
    val dials = LongAdder()
    val timeouts = LongAdder()
    val refusals = LongAdder()
    val connections = AtomicInteger()

    override val bytesSent: Long get() = bytesOut.sum()
    override val bytesReceived: Long get() = bytesIn.sum()
    override val framesSent: Long get() = framesOut.sum()
    override val framesReceived: Long get() = framesIn.sum()
    override val dropped: Long get() = drops.sum()
    override val incomingDropped: Long get() = incomingDrops.sum()
    override val connects: Long get() = dials.sum()
    override val receiveTimeouts: Long get() = timeouts.sum()
    override val refused: Long get() = refusals.sum()
    override val open: Int get() = connections.get()
}
