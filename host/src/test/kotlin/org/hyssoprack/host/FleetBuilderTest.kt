package org.hyssoprack.host

import assertk.assertThat
import assertk.assertions.isEqualTo
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.ModelId
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.PoolName
import org.hyssoprack.common.ServiceId
import org.hyssoprack.common.TierName
import org.hyssoprack.common.TierRank
import org.hyssoprack.membership.MemberView
import org.hyssoprack.membership.Ownership
import org.hyssoprack.policy.CompiledPolicy
import org.hyssoprack.policy.Pool
import org.hyssoprack.policy.Tier
import org.hyssoprack.store.BackendServer
import org.hyssoprack.store.BackendServerKind
import org.hyssoprack.store.BackendServerState

class FleetBuilderTest {
    private val tiers = listOf(Tier(TierName("top"), TierRank(0), objective = 0.99))
    private val policy = CompiledPolicy(
        tiers = tiers,
        pools = listOf(
            Pool(PoolName("engines"), model = ModelId("m")),
            Pool(PoolName("services"), service = ServiceId("s"))
        ).associateBy { it.name },
        accounts = emptyMap(),
        routes = emptyList()
    )

    private class Case(
        val name: String,
        val server: BackendServer,
        val owner: String? = "h1",
        val unavailable: Boolean = false,
        val pool: String?,
        val leaving: Boolean = false
    )

    private val cases = listOf(
        Case("an engine", engine(), pool = "engines"),
        Case("a service", engine().copy(model = null, service = ServiceId("s")), pool = "services"),
        Case("a model of no pool", engine().copy(model = ModelId("x")), pool = null),
        Case("no owner", engine(), owner = null, pool = null),
        Case("unavailable", engine(), unavailable = true, pool = "engines", leaving = true),
        Case(
            name = "leaving by the host list",
            server = engine().copy(state = BackendServerState.LEAVING),
            pool = "engines",
            leaving = true
        )
    )

    @Example
    fun `each backend server gets its pool and its state`() = cases.forEach { case ->
        val server = build(case).servers[case.server.id]
        assertThat(server?.pool?.value, case.name).isEqualTo(case.pool)
        assertThat(server?.leaving ?: false, case.name).isEqualTo(case.leaving)
    }

    @Example
    fun `the fleet has the tiers of the policy`() {
        assertThat(build(cases.first()).tiers).isEqualTo(tiers)
    }

    private fun build(case: Case) = FleetBuilder(FixedOwner(case.owner)).build(
        servers = listOf(case.server),
        unavailable = if (case.unavailable) setOf(case.server.id) else emptySet(),
        view = MemberView(emptyMap()),
        policy = policy
    )

    private class FixedOwner(private val name: String?) : Ownership {
        override fun owner(view: MemberView, server: BackendServerId, domain: FailureDomain) =
            name?.let(::HostId)
    }

    private fun engine() = BackendServer(
        id = BackendServerId("b1"),
        kind = BackendServerKind.ENGINE,
        address = NetworkAddress("127.0.0.1", 1),
        domain = FailureDomain("d1"),
        model = ModelId("m")
    )
}
