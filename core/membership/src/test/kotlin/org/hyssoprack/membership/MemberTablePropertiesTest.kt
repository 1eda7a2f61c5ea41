package org.hyssoprack.membership

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isTrue
import kotlin.random.Random
import net.jqwik.api.ForAll
import net.jqwik.api.Property

class MemberTablePropertiesTest {
    @Property(tries = 40)
    fun `after random faults end all hosts list each other as alive`(@ForAll seed: Long) {
        val network = SimulatedNetwork(count = HOSTS, seed = seed)
        val faults = RandomFaults(network, Random(seed))
        network.run(JOIN_MS)
        repeat(FAULTS) {
            faults.inject()
            network.run(FAULT_MS)
        }
        faults.end()
        assertThat(network.runUntil(AGREE_MS) { agree(network) }).isTrue()
        network.run(AGREE_MS)
        assertThat(agree(network)).isTrue()
    }

    private fun agree(network: SimulatedNetwork): Boolean {
        val refs = HOST_RANGE.map {
            network.view(it).members.getValue(SimulatedNetwork.host(it)).ref
        }
        return HOST_RANGE.all { index ->
            val alive = network.view(index).members.values.filter { it.state == MemberState.ALIVE }
            alive.map { it.ref }.toSet() == refs.toSet()
        }
    }

    @Property(tries = 100)
    fun `the merged list does not depend on the order of digests`(@ForAll seed: Long) {
        val random = Random(seed)
        val digests = List(20) { digest(random) }
        val first = merged(digests)
        assertThat(merged(digests.shuffled(random))).isEqualTo(first)
        assertThat(merged(digests + digests)).isEqualTo(first)
    }

    private fun merged(digests: List<MemberDigest>): Map<String, MemberDigest> {
        val records = MemberRecords()
        digests.forEach { records.merge(it, nowMs = 0) }
        return records.all.associate { it.digest.host.value to it.digest }
    }

    private fun digest(random: Random): MemberDigest {
        val member = SimulatedNetwork.member(random.nextInt(3), random.nextLong(1, 4))
        return MemberDigest(
            host = member.ref.host,
            incarnation = member.ref.incarnation,
            state = MemberState.entries.random(random),
            refutation = random.nextInt(3),
            profile = MemberRow.of(member).profile
        )
    }

    private companion object {
        const val HOSTS = 7
        val HOST_RANGE = 0 until HOSTS
        const val FAULTS = 8
        const val JOIN_MS = 3_000L
        const val FAULT_MS = 2_500L
        const val AGREE_MS = 30_000L
    }
}
