package org.hyssoprack.bench.capacity

import kotlin.random.Random
import org.hyssoprack.common.HostRef
import org.hyssoprack.link.tcp.MessageSizes
import org.hyssoprack.membership.MemberDigest
import org.hyssoprack.membership.MemberMessage
import org.hyssoprack.membership.MemberStatus
import org.hyssoprack.membership.MemberTable
import org.hyssoprack.membership.MembershipAction
import org.hyssoprack.membership.MembershipSettings
import org.hyssoprack.membership.memberMessages

/** Anti-entropy exchange of two hosts whose lists of [size] members differ in one entry. */
internal class AntiEntropyExchange(private val size: Int) {
    private val settings = MembershipSettings()
    private val sizes = MessageSizes(memberMessages)
    private val members = (0 until size).map { MemberSimulation.member(it, incarnation = 1) }
    private val newer = MemberSimulation.member(size - 1, incarnation = 2)
    private val first = table(0)
    private val second = table(1)

    /** Returns the bytes sent until the first host has the newer incarnation from the second. */
    fun bytes(): Double {
        applyDigests(second, listOf(MemberSimulation.digestOf(newer)))
        val request = first.tick(settings.antiEntropyIntervalMs).sent().first {
            it is MemberMessage.Compare
        }
        var sum = 0
        var messages = listOf(request)
        var isFirst = true
        while (messages.isNotEmpty()) {
            sum +=
                messages.sumOf {
                    sizes.bytes(it)
                        ?: error("${it::class.simpleName} could not be encoded")
                }
            messages = messages.flatMap { reply(toFirst = !isFirst, message = it) }
            isFirst = !isFirst
        }
        check(first.view().members[newer.ref.host]?.ref == newer.ref)
        return sum.toDouble()
    }

    private fun reply(toFirst: Boolean, message: MemberMessage): List<MemberMessage> {
        val table = if (toFirst) first else second
        val from = if (toFirst) members[1].ref else members[0].ref
        return table.receive(settings.antiEntropyIntervalMs, from, message).sent()
    }

    private fun table(index: Int): MemberTable {
        val table = MemberTable(members[index], settings, Random(index), startMs = 0)
        applyDigests(table, members.map { MemberSimulation.digestOf(it) })
        return table
    }

    private fun applyDigests(table: MemberTable, digests: List<MemberDigest>) {
        val from: HostRef = members[2].ref
        table.receive(0, from, MemberMessage.Sync(MemberStatus(), digests))
    }

    private fun List<MembershipAction>.sent(): List<MemberMessage> =
        filterIsInstance<MembershipAction.Send>().map { it.message }
}
