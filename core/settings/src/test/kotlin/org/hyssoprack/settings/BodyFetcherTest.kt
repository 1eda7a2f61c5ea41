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
    fun `peers are asked first, then the object store if they do not deliver`() {
        val fetch = BodyFetcher(Random(1))
        fetch.request(version, hash, newConfirmedAtMs = 0)
        fetch.addSource(peer, version)
        val actions = attempts(fetch)
        assertThat(actions.first()).isEqualTo(fromPeer)
        assertThat(actions).contains(fromStore)
    }

    @Example
    fun `the object store is read at once if no peer has reported the version`() {
        val fetch = BodyFetcher(Random(1))
        fetch.request(version, hash, newConfirmedAtMs = 0)
        fetch.addSource(peer, BundleVersion(3))
        assertThat(attempts(fetch).distinct()).isEqualTo(listOf(fromStore))
    }

    @Example
    fun `a version known from peers only needs the row if they do not deliver`() {
        val fetch = BodyFetcher(Random(1))
        fetch.request(version, newHash = null, newConfirmedAtMs = null)
        fetch.addSource(peer, version)
        assertThat(fetch.needsHash()).isFalse()
        assertThat(attempts(fetch).distinct()).isEqualTo(listOf(fromPeer))
        assertThat(fetch.needsHash()).isTrue()
        fetch.request(version, hash, newConfirmedAtMs = 5)
        assertThat(fetch.needsHash()).isFalse()
        assertThat(attempts(fetch, fromMs = 10_000)).contains(fromStore)
    }

    @Example
    fun `a newer version replaces the requested one and an older one does not`() {
        val fetch = BodyFetcher(Random(1))
        fetch.request(version, hash, newConfirmedAtMs = 0)
        fetch.request(BundleVersion(3), ContentHash.of("three"), newConfirmedAtMs = 9)
        assertThat(fetch.hash).isEqualTo(hash)
        fetch.request(BundleVersion(5), newHash = null, newConfirmedAtMs = null)
        assertThat(fetch.version).isEqualTo(BundleVersion(5))
        assertThat(fetch.hash).isNull()
        assertThat(fetch.confirmedAtMs).isNull()
    }

    private fun attempts(fetch: BodyFetcher, fromMs: Long = 0): List<RolloutAction> =
        (fromMs..fromMs + 3_000 step 100).mapNotNull { fetch.due(it) }
}
