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

/** A deployment and a caller for the cases of one test. */
internal class SharedDeployment(settings: DeploymentSettings = DeploymentSettings()) :
    AutoCloseable {
    val directory: Path = Files.createTempDirectory("hyssoprack-it")
    private val lastContent = AtomicInteger()
    val deployment = DeploymentUnderTest(directory, settings)
    val caller = Caller()

    /** Runs [block] against the started deployment and audits everything at the end. */
    fun audited(block: suspend CoroutineScope.(SharedDeployment) -> Unit) = use {
        deployment.start()
        runBlocking(Dispatchers.Default) { block(it) }
        assertThat(violations(), "violations, logs in $directory").isEmpty()
    }

    /** A call with a content of its own. */
    fun spec(kind: CallKind, tokens: Int = DEFAULT_TOKENS, stream: Boolean = true) = CallSpec(
        kind = kind,
        content = "${kind.name.lowercase()}${lastContent.incrementAndGet()}",
        tokens = tokens,
        stream = stream
    )

    /** Makes a call that was never made before, through the first host. */
    suspend fun call(spec: CallSpec): CallRecord = caller.call(deployment.hosts.first(), spec)

    /** How often a backend server began to work on the call of [spec] so far. */
    fun runsOf(spec: CallSpec): Int {
        val runs = RunLogReader.read(deployment.backends.logs)
        if (spec.kind == CallKind.BOOKING) {
            return runs.count { it.bodyHash == TestPolicy.hash(spec.content) }
        }
        val ids = caller.idsOf(spec)
        return runs.count { it.requestId in ids }
    }

    /** Number of requests that the backend server [name] has begun so far. */
    fun runsOn(name: String): Int =
        RunLogReader.read(deployment.backends.logs).count { it.server == name }

    /** Version of the bundle that was accepted last. */
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
