package org.hyssoprack.integration

import assertk.assertThat
import assertk.assertions.isEmpty
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.hyssoprack.integration.audit.Audit
import org.hyssoprack.integration.audit.History
import org.hyssoprack.integration.audit.RunLogReader
import org.hyssoprack.integration.audit.Violation
import org.hyssoprack.integration.caller.CallKind
import org.hyssoprack.integration.caller.CallRecord
import org.hyssoprack.integration.caller.CallSpec
import org.hyssoprack.integration.caller.Caller
import org.hyssoprack.integration.deployment.DeploymentSettings
import org.hyssoprack.integration.deployment.DeploymentUnderTest
import org.hyssoprack.integration.deployment.JournalAction
import org.hyssoprack.integration.deployment.TestPolicy

/** A deployment and a caller that the cases of one test share. */
internal class SharedDeployment(settings: DeploymentSettings = DeploymentSettings()) :
    AutoCloseable {
    val directory: Path = Files.createTempDirectory("hyssoprack-it")
    private val lastContent = AtomicInteger()
    val deployment = DeploymentUnderTest(directory, settings)
    val caller = Caller()

    /** Starts the deployment, runs [block] and asserts that the audit finds no violations. */
    fun audited(block: suspend CoroutineScope.(SharedDeployment) -> Unit) = use {
        deployment.start()
        runBlocking(Dispatchers.Default) { block(it) }
        assertThat(violations(), "violations, logs in $directory").isEmpty()
    }

    /** Returns a call with unique content. */
    fun spec(kind: CallKind, tokens: Int = DEFAULT_TOKENS, stream: Boolean = true) = CallSpec(
        kind = kind,
        content = "${kind.name.lowercase()}${lastContent.incrementAndGet()}",
        tokens = tokens,
        stream = stream
    )

    /** Makes a first attempt of [spec] through the first host. */
    suspend fun call(spec: CallSpec): CallRecord = caller.call(deployment.hosts.first(), spec)

    /** Returns how many runs of the call of [spec] backend servers have started so far. */
    fun runsOf(spec: CallSpec): Int {
        val runs = RunLogReader.read(deployment.backends.logs)
        if (spec.kind == CallKind.BOOKING) {
            return runs.count { it.bodyHash == TestPolicy.hash(spec.content) }
        }
        val ids = caller.idsOf(spec)
        return runs.count { it.requestId in ids }
    }

    /** Returns the number of requests that the backend server [name] has started so far. */
    fun runsOn(name: String): Int =
        RunLogReader.read(deployment.backends.logs).count { it.server == name }

    /** Returns the version of the last accepted bundle. */
    fun acceptedVersion(): Long =
        deployment.journal.entries.last { it.action == JournalAction.ACCEPTED }.detail

    fun history() = History(
        calls = caller.records,
        runs = RunLogReader.read(deployment.backends.logs),
        journal = deployment.journal.entries
    )

    fun violations(): List<Violation> = Audit(history()).violations()

    override fun close() {
        caller.close()
        deployment.close()
    }

    private companion object {
        const val DEFAULT_TOKENS = 20
    }
}
