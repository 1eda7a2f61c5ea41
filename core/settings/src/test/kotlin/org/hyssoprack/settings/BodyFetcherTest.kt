package org.hyssoprack.settings

import assertk.assertThat
import assertk.assertions.contains
import assertk.assertions.isEqualTo
import assertk.assertions.isFalse
import assertk.assertions.isNull
import assertk.assertions.isTrue
import kotlin.random.Random
import net.jqwik.api.Example
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.HostId

class BodyFetcherTest {
    private val version = BundleVersion(4)
    private val hash = ContentHash.of("four")
    private val peer = HostId("peer")
    private val fromStore = RolloutAction.GetBody(version, hash)
    private val fromPeer = RolloutAction.Send(peer, BundleMessage.Fetch(version))

    @Example
    fun `peers are asked first, and the object store when they do not deliver`() {
        val fetch = BodyFetcher(Random(1))
        fetch.want(version, hash, newProvedAtMs = 0)
        fetch.heldBy(peer, version)
        val actions = attempts(fetch)
        assertThat(actions.first()).isEqualTo(fromPeer)
        assertThat(actions).contains(fromStore)
    }

    @Example
    fun `the object store is asked at once if no peer is known to have the version`() {
        val fetch = BodyFetcher(Random(1))
        fetch.want(version, hash, newProvedAtMs = 0)
        fetch.heldBy(peer, BundleVersion(3))
        assertThat(attempts(fetch).distinct()).isEqualTo(listOf(fromStore))
    }

    @Example
    fun `a version of which only peers know needs the row once they do not deliver`() {
        val fetch = BodyFetcher(Random(1))
        fetch.want(version, newHash = null, newProvedAtMs = null)
        fetch.heldBy(peer, version)
        assertThat(fetch.needsHash()).isFalse()
        assertThat(attempts(fetch).distinct()).isEqualTo(listOf(fromPeer))
        assertThat(fetch.needsHash()).isTrue()
        fetch.want(version, hash, newProvedAtMs = 5)
        assertThat(fetch.needsHash()).isFalse()
        assertThat(attempts(fetch, fromMs = 10_000)).contains(fromStore)
    }

    @Example
    fun `a newer version replaces the wanted one and an older one does not`() {
        val fetch = BodyFetcher(Random(1))
        fetch.want(version, hash, newProvedAtMs = 0)
        fetch.want(BundleVersion(3), ContentHash.of("three"), newProvedAtMs = 9)
        assertThat(fetch.hash).isEqualTo(hash)
        fetch.want(BundleVersion(5), newHash = null, newProvedAtMs = null)
        assertThat(fetch.version).isEqualTo(BundleVersion(5))
        assertThat(fetch.hash).isNull()
        assertThat(fetch.provedAtMs).isNull()
    }

    private fun attempts(fetch: BodyFetcher, fromMs: Long = 0): List<RolloutAction> =
        (fromMs..fromMs + 3_000 step 100).mapNotNull { fetch.due(it) }
}
