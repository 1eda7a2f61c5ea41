package org.hyssoprack.bench.capacity

import kotlin.random.Random
import org.hyssoprack.link.tcp.MessageSizes
import org.hyssoprack.membership.MemberMessage
import org.hyssoprack.membership.MemberState
import org.hyssoprack.membership.MemberStatus
import org.hyssoprack.membership.MemberTable
import org.hyssoprack.membership.MembershipSettings
import org.hyssoprack.membership.memberMessages

/** Measures the cost of membership: steady state, restarts, losses, list comparison and memory. */
internal class MemberCapacity(private val sizes: List<Int>) {
    private val slopes = mutableListOf<Slope>()
    private val figures = mutableListOf<Figure>()
    private val steadyBytes = HashMap<Int, Double>()

    fun measure(): CapacityReport {
        MemberSimulation(WARM_UP_HOSTS).run(WARM_UP_MS)
        measureSteady()
        measureRestarts()
        measureLosses()
        measureComparison()
        measureMemory()
        return CapacityReport(slopes, figures)
    }

    private fun measureSteady() {
        val bytes = mutableListOf<Point>()
        val messages = mutableListOf<Point>()
        val cpu = mutableListOf<Point>()
        for (size in sizes) {
            val simulation = MemberSimulation(size)
            simulation.run(SETTLE_MS)
            simulation.resetCost()
            simulation.run(RUN_MS)
            val hostSeconds = size * RUN_MS / MS_PER_SECOND
            steadyBytes[size] = simulation.traffic.bytes.toDouble()
            bytes += Point(size.toDouble(), simulation.traffic.bytes / hostSeconds)
            messages += Point(size.toDouble(), simulation.traffic.messages / hostSeconds)
            cpu += Point(size.toDouble(), simulation.tableNanos / hostSeconds / NANOS_PER_US)
        }
        slopes += Slope.of("members, steady: sent", "members", "B/s per host", bytes)
        slopes += Slope.of("members, steady: messages", "members", "1/s per host", messages)
        slopes += Slope.of("members, steady: table", "members", "CPU us/s per host", cpu)
    }

    private fun measureRestarts() {
        val propagation = mutableListOf<Point>()
        val bytes = mutableListOf<Point>()
        for (size in sizes) {
            val simulation = MemberSimulation(size)
            simulation.run(SETTLE_MS)
            simulation.resetCost()
            simulation.restart(0)
            val tookMs = simulation.runUntil(RUN_MS) {
                simulation.allHaveState(0 until size, listOf(0), MemberState.ALIVE)
            } ?: error("not all $size hosts reported restarted host 0 as ALIVE within $RUN_MS ms")
            simulation.run(RUN_MS - tookMs)
            propagation += Point(size.toDouble(), tookMs.toDouble())
            bytes +=
                Point(
                    size.toDouble(),
                    (simulation.traffic.bytes - steadyBytes.getValue(size)) / size
                )
        }
        slopes += Slope.of("restart: until all know", "members", "ms", propagation)
        slopes += Slope.of("restart: extra bytes", "members", "B per host and restart", bytes)
    }

    private fun measureLosses() {
        val one = sizes.map { Point(it.toDouble(), lossMs(it, lost = 1).toDouble()) }
        slopes += Slope.of("one host dies: until all know", "members", "ms", one)
        measureLossInSmallFleet()
        val largest = sizes.last()
        measureDomainLoss(largest)
        measurePartition(largest)
    }

    private fun measureLossInSmallFleet() {
        val times = (1..SMALL_RUNS).map {
            lossMs(SMALL_HOSTS, lost = 1, seed = it.toLong())
        }.sorted()
        val name = "one of $SMALL_HOSTS hosts dies: until all know"
        figures += Figure("$name, median", "ms", times[times.size / 2].toDouble())
        figures += Figure("$name, longest of $SMALL_RUNS", "ms", times.last().toDouble())
    }

    private fun lossMs(size: Int, lost: Int, seed: Long = 1): Long {
        val simulation = MemberSimulation(size, seed)
        simulation.run(SETTLE_MS)
        simulation.kill(0 until lost)
        return simulation.runUntil(TIMEOUT_MS) {
            simulation.allHaveState(lost until size, 0 until lost, MemberState.DEAD)
        } ?: error("not all hosts reported $lost of $size hosts as DEAD within $TIMEOUT_MS ms")
    }

    private fun measureDomainLoss(size: Int) {
        val lost = size / DOMAINS
        val simulation = MemberSimulation(size)
        simulation.run(SETTLE_MS)
        simulation.resetCost()
        simulation.kill(0 until lost)
        val tookMs = simulation.runUntil(TIMEOUT_MS) {
            simulation.allHaveState(lost until size, 0 until lost, MemberState.DEAD)
        } ?: error("not all hosts reported $lost of $size hosts as DEAD within $TIMEOUT_MS ms")
        val rate = simulation.traffic.bytes / (size - lost) / (tookMs / MS_PER_SECOND)
        figures += Figure("$lost of $size hosts die: until all know", "ms", tookMs.toDouble())
        figures += Figure("$lost of $size hosts die: sent meanwhile", "B/s per host", rate)
    }

    private fun measurePartition(size: Int) {
        val isolated = 0 until size / REGIONS
        val simulation = MemberSimulation(size)
        simulation.run(SETTLE_MS)
        simulation.isolate(isolated)
        simulation.run(PARTITION_MS)
        figures +=
            Figure("region apart: reachable, small side", "share", simulation.reachableShare(0))
        figures += Figure(
            "region apart: reachable, large side",
            "share",
            simulation.reachableShare(size - 1)
        )
        simulation.resetCost()
        simulation.isolate(emptyList())
        val tookMs = simulation.runUntil(TIMEOUT_MS) {
            simulation.allHaveState(0 until size, 0 until size, MemberState.ALIVE)
        } ?: error("not all $size hosts were ALIVE in all views $TIMEOUT_MS ms after a partition")
        val rate = simulation.traffic.bytes / size / (tookMs / MS_PER_SECOND)
        figures += Figure("regions together again: until all know", "ms", tookMs.toDouble())
        figures += Figure("regions together again: sent meanwhile", "B/s per host", rate)
    }

    private fun measureComparison() {
        val fullList = sizes.map { Point(it.toDouble(), fullListBytes(it)) }
        slopes += Slope.of("whole list sent", "members", "B", fullList)
        val buckets = sizes.map { Point(it.toDouble(), AntiEntropyExchange(it).bytes()) }
        slopes += Slope.of("lists compared by buckets, one differs", "members", "B", buckets)
    }

    private fun fullListBytes(size: Int): Double {
        val digests = (0 until size).map {
            MemberSimulation.digestOf(MemberSimulation.member(it, incarnation = 1))
        }
        val message = MemberMessage.Sync(MemberStatus(), digests)
        return MessageSizes(memberMessages).bytes(message)?.toDouble()
            ?: error("MemberMessage.Sync could not be encoded")
    }

    private fun measureMemory() {
        val points = sizes.map { Point(it.toDouble(), memoryOf(it)) }
        slopes += Slope.of("members: memory of table and view", "members", "B per host", points)
    }

    private fun memoryOf(size: Int): Double {
        val before = Meter.heapBytes()
        val tables = List(TABLES) { tableOf(size) }
        val after = Meter.heapBytes()
        check(tables.all { it.view().members.size == size })
        return (after - before).toDouble() / TABLES
    }

    // Decoded messages share no objects, so each table gets its own digests.
    private fun tableOf(size: Int): MemberTable {
        val members = (0 until size).map { MemberSimulation.member(it, incarnation = 1) }
        val table = MemberTable(members[0], MembershipSettings(), Random(1), startMs = 0)
        val digests = members.map { MemberSimulation.digestOf(it) }
        table.receive(0, members[1].ref, MemberMessage.Sync(MemberStatus(), digests))
        table.view()
        return table
    }

    private companion object {
        const val WARM_UP_HOSTS = 60
        const val WARM_UP_MS = 20_000L
        const val SETTLE_MS = 5_000L
        const val RUN_MS = 20_000L
        const val TIMEOUT_MS = 120_000L
        const val PARTITION_MS = 60_000L
        const val MS_PER_SECOND = 1_000.0
        const val NANOS_PER_US = 1_000.0
        const val DOMAINS = 10
        const val REGIONS = 3
        const val TABLES = 8
        const val SMALL_HOSTS = 9
        const val SMALL_RUNS = 100
    }
}
