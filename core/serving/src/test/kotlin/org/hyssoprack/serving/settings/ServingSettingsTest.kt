package org.hyssoprack.serving.settings

import assertk.assertThat
import assertk.assertions.isBetween
import assertk.assertions.isEqualTo
import net.jqwik.api.Example
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.RouteName
import org.hyssoprack.common.ServiceId

class ServingSettingsTest {
    private val settings = ServingSettings(
        version = BundleVersion(3),
        routes = listOf(
            route("all", "/"),
            route("letters", "/letters/"),
            route("drafts", "/letters/drafts/"),
            route("other-host", "/letters/", host = "b.example")
        ),
        services = emptyList()
    )

    @Example
    fun `the route with the longest prefix of the path is chosen`() {
        class Case(val host: String, val path: String, val route: String?)
        val cases = listOf(
            Case("a.example", "/", "all"),
            Case("a.example", "/letters", "all"),
            Case("a.example", "/letters/", "letters"),
            Case("a.example", "/letters/7", "letters"),
            Case("a.example", "/letters/drafts/7?x=/y/", "drafts"),
            Case("a.example", "/lettersx/7", "all"),
            Case("a.example", "/x?next=/letters/drafts/", "all"),
            Case("b.example", "/letters/7", "other-host"),
            Case("b.example", "/7", null),
            Case("c.example", "/", null),
            Case("a.example", "letters", null)
        )
        for (case in cases) {
            val found = settings.routeFor(case.host, case.path)?.name?.value
            assertThat(found, case.host + case.path).isEqualTo(case.route)
        }
    }

    @Example
    fun `requests are split by weight`() {
        val split = route("split", "/").copy(
            shares = listOf(ServiceShare(ServiceId("old"), 90), ServiceShare(ServiceId("new"), 10))
        )
        val hashes = (0 until 1_000).map { "request $it".hashCode() }
        val toNew = hashes.count { split.serviceFor(it) == ServiceId("new") }
        assertThat(toNew).isBetween(50, 150)
    }

    private fun route(name: String, prefix: String, host: String = "a.example") = Route(
        name = RouteName(name),
        host = host,
        prefix = prefix,
        kind = RouteKind.SAFE,
        shares = listOf(ServiceShare(ServiceId("s"), 1)),
        timeoutMs = 1_000,
        targetMs = 100
    )
}
