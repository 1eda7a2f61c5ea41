package org.hyssoprack.integration.schedule

import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import org.hyssoprack.integration.deployment.DeploymentUnderTest
import org.hyssoprack.integration.deployment.HttpAnswer
import org.hyssoprack.integration.deployment.TestPolicy

/** Has two hosts accept different bundles on the same base version at the same time. */
class ConcurrentOperators(private val deployment: DeploymentUnderTest) {
    private val lastChange = AtomicInteger()

    /** Returns the answers received; empty if proposing or signing off a bundle failed. */
    fun acceptConcurrently(): List<HttpAnswer> {
        val hosts = deployment.hosts.filter { it.isAlive }
        val pair = listOf(hosts.first(), hosts.last())
        return try {
            val hashes = pair.map { deployment.operators.proposeAndSignOff(it, changedPolicy()) }
            val base = pair.maxOf { deployment.operators.activeVersion(it) }
            val answers = arrayOfNulls<HttpAnswer>(pair.size)
            val threads = pair.indices.map { i ->
                thread {
                    answers[i] = runCatching {
                        deployment.operators.accept(pair[i], hashes[i], base)
                    }.getOrNull()
                }
            }
            threads.forEach { it.join() }
            answers.filterNotNull()
        } catch (_: IOException) {
            emptyList()
        } catch (_: IllegalStateException) {
            emptyList()
        }
    }

    private fun changedPolicy() =
        TestPolicy.TEXT + "\n# change ${lastChange.incrementAndGet()} ${System.nanoTime()}\n"
}
