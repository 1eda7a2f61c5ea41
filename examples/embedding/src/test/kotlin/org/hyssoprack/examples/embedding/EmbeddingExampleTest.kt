package org.hyssoprack.examples.embedding

import assertk.assertThat
import assertk.assertions.containsExactlyInAnyOrder
import assertk.assertions.isEqualTo
import assertk.assertions.isInstanceOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.hyssoprack.claims.ClaimResult
import org.hyssoprack.common.BundleVersion

class EmbeddingExampleTest {
    private val scope = CoroutineScope(Job() + Dispatchers.Default)

    @AfterTry
    fun stop() = scope.cancel()

    @Example
    fun `three hosts roll out a bundle, dispatch each request once and claim a call once`() {
        val result = runBlocking { withTimeout(WAIT_MS) { EmbeddingExample(scope).run() } }
        assertThat(result.versions).isEqualTo(List(3) { BundleVersion(1) })
        assertThat(result.dispatched)
            .containsExactlyInAnyOrder(*result.submitted.toTypedArray())
        assertThat(result.claims[0]).isInstanceOf(ClaimResult.Granted::class)
        assertThat(result.claims[1]).isInstanceOf(ClaimResult.Recorded::class)
    }

    private companion object {
        const val WAIT_MS = 60_000L
    }
}
