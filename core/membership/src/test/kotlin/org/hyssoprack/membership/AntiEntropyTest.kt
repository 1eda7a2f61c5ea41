package org.hyssoprack.membership

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isNull
import net.jqwik.api.Example

class AntiEntropyTest {
    private val settings = MembershipSettings()
    private val members = (0 until 100).map { SimulatedNetwork.member(it) }
    private val newer = SimulatedNetwork.member(50, incarnation = 2)

    private class Side(self: Member, settings: MembershipSettings, known: List<Member>) {
        val local = LocalMember(self)
        val memberList = MemberList(local, settings)
        val antiEntropy = AntiEntropy(local, memberList)

        init {
            merge(known - self)
        }

        fun merge(members: List<Member>) = members.forEach {
            memberList.merge(nowMs = 0, digestOf(it))
        }

        fun merge(message: MemberMessage) = message.digests.forEach { memberList.merge(0, it) }

        private fun digestOf(member: Member) = MemberDigest(
            host = member.ref.host,
            incarnation = member.ref.incarnation,
            state = member.state,
            refutation = member.refutation,
            profile = MemberRow.of(member).profile
        )
    }

    private class Case(
        val name: String,
        val left: (List<Member>) -> List<Member>,
        val right: (List<Member>) -> List<Member>
    )

    private val cases = listOf(
        Case("a newer run on the right", { it }, { it - members[50] + newer }),
        Case("a newer run on the left", { it - members[50] + newer }, { it }),
        Case("a member missing on the left", { it - members[7] }, { it }),
        Case("a member missing on the right", { it }, { it - members[7] }),
        Case("a leaving member", { it }, { it - members[9] + leaving(9) }),
        Case("a suspected member", { it - members[9] + suspected(9) }, { it }),
        Case("half missing on each side", { it.take(60) }, { it.take(1) + it.drop(40) })
    )

    @Example
    fun `after an exchange both sides hold the newer digest of each member`() {
        for (case in cases) {
            val left = Side(members[0], settings, case.left(members))
            val right = Side(members[1], settings, case.right(members))
            compare(left, right)
            assertThat(known(left), name = case.name).isEqualTo(known(right))
        }
    }

    @Example
    fun `equal lists are not sent`() {
        val left = Side(members[0], settings, members)
        val right = Side(members[1], settings, members)
        val request = left.antiEntropy.request(emptyList()) as MemberMessage.Compare
        assertThat(right.antiEntropy.answer(request)).isNull()
    }

    private fun compare(left: Side, right: Side) {
        val request = left.antiEntropy.request(emptyList()) as MemberMessage.Compare
        val differ = right.antiEntropy.answer(request) as MemberMessage.Differ
        left.merge(differ)
        left.antiEntropy.answer(differ)?.let { right.merge(it) }
    }

    private fun known(side: Side) =
        side.memberList.digests().map { it.copy(profile = null) }.toSet()

    private fun leaving(index: Int) =
        members[index].copy(state = MemberState.LEAVING, refutation = 1)

    private fun suspected(index: Int) = members[index].copy(state = MemberState.SUSPECT)
}
