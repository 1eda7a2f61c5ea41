package org.hyssoprack.examples.embedding

import arrow.core.Either
import java.util.concurrent.ConcurrentLinkedQueue
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import org.hyssoprack.claims.ClaimKey
import org.hyssoprack.claims.ClaimResult
import org.hyssoprack.claims.RecordedOutcome
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.Failure
import org.hyssoprack.common.IdempotencyKey
import org.hyssoprack.common.OperatorName
import org.hyssoprack.common.PoolName
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.SystemClock
import org.hyssoprack.common.TierRank
import org.hyssoprack.policy.Pool
import org.hyssoprack.scheduling.WaitingRequest
import org.hyssoprack.settings.AccountEntry
import org.hyssoprack.settings.Bundle

/** Runs the coordination modules of three hosts in one process. */
class EmbeddingExample(private val scope: CoroutineScope) {
    private val table = MemoryTable()
    private val objects = MemoryObjects()
    private val dispatched = ConcurrentLinkedQueue<RequestId>()

    /** Runs the example and returns its results. */
    suspend fun run(): ExampleResult {
        val hosts = NAMES.map { name ->
            EmbeddedHost.start(name, scope, table, objects) { dispatched += it.requestId }
        }
        hosts.forEach { it.awaitMembers(NAMES.size) }
        val versions = rollOut(hosts)
        val requests = schedule(hosts)
        val claims = claimTwice(hosts)
        hosts.forEach { it.close() }
        return ExampleResult(versions, requests, dispatched.toList(), claims)
    }

    // One operator proposes, another signs off; once accepted, the bundle is active on all hosts.
    private suspend fun rollOut(hosts: List<EmbeddedHost>): List<BundleVersion> {
        val service = hosts.first().bundles
        val hash = service.propose(OperatorName("ann"), bundleJson()).orFail()
        service.signOff(OperatorName("ben"), hash).orFail()
        service.accept(OperatorName("ann"), hash, base = BundleVersion.NONE).orFail()
        return hosts.map { it.awaitBundle().version }
    }

    private suspend fun schedule(hosts: List<EmbeddedHost>): List<RequestId> {
        val pool = hosts.first().awaitBundle().policy.pools.getValue(PoolName("workers"))
        hosts.forEach { it.setServers(SERVERS, pool) }
        val requests = (0 until REQUESTS).map { index ->
            val host = hosts[index % hosts.size]
            request(host, index, pool).also { host.submit(it) }
        }
        while (dispatched.size < REQUESTS) delay(POLL_MS)
        return requests.map { it.id }
    }

    private fun request(host: EmbeddedHost, index: Int, pool: Pool): WaitingRequest {
        val nowMs = SystemClock.nowMs()
        return WaitingRequest(
            id = RequestId.of(host.ref, suffix = index.toString()),
            account = ACCOUNT,
            share = 1,
            tier = TierRank(0),
            pool = pool.name,
            arrivedAtMs = nowMs,
            deadlineAtMs = nowMs + DEADLINE_MS
        )
    }

    // The second claim of the same call returns the recorded outcome of the first.
    private suspend fun claimTwice(hosts: List<EmbeddedHost>): List<ClaimResult> {
        val key = ClaimKey(account = ACCOUNT, key = IdempotencyKey("order-7"))
        val first = hosts[0].claims.claim(key, BODY_HASH, hosts[0].ref)
        if (first is ClaimResult.Granted) {
            val outcome = RecordedOutcome(code = ResultCode.OK.number, status = CREATED)
            hosts[0].claims.record(first.claim, outcome)
        }
        val second = hosts[1].claims.claim(key, BODY_HASH, hosts[1].ref)
        return listOf(first, second)
    }

    private fun bundleJson(): String {
        val key = ContentHash("0".repeat(HASH_LENGTH))
        val bundle = Bundle(policy = POLICY, accounts = listOf(AccountEntry(ACCOUNT, listOf(key))))
        return Json.encodeToString(Bundle.serializer(), bundle)
    }

    private fun <T> Either<Failure, T>.orFail(): T = fold({ error(it.toString()) }, { it })

    private companion object {
        val NAMES = listOf("a", "b", "c")
        val SERVERS = List(4) { BackendServerId("worker-$it") }
        val ACCOUNT = ClientAccount("shop")
        const val REQUESTS = 12
        const val DEADLINE_MS = 30_000L
        const val POLL_MS = 20L
        const val HASH_LENGTH = 64
        const val CREATED = 201
        const val BODY_HASH = "body"
        val POLICY = """
            tier normal objective 99%
            account shop
            pool workers {
              service "workers"
            }
            route all {
              tier normal
              pool workers
              deadline 30 s
            }
        """.trimIndent()
    }
}
