package org.hyssoprack.client

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlin.random.Random
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import org.hyssoprack.common.Clock
import org.hyssoprack.common.Failure
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ResultCode

/**
 * Caches the host list of `GET /v1/hosts` for its time to live. If no host returns a new list, the
 * last one stays in use.
 */
internal class HostDirectory(
    private val http: HttpClient,
    private val seeds: List<NetworkAddress>,
    private val settings: ClientSettings,
    private val clock: Clock,
    private val random: Random
) {
    private val json = Json { ignoreUnknownKeys = true }
    private val mutex = Mutex()
    private var hosts = emptyList<EntryHost>()
    private var validUntilMs = Long.MIN_VALUE

    /** Returns the hosts, the best first. Fails with HOST_UNREACHABLE if no list was ever read. */
    suspend fun hosts(): Either<Failure, List<EntryHost>> = mutex.withLock {
        if (clock.nowMs() < validUntilMs) return hosts.right()
        val failure = refresh() ?: return hosts.right()
        if (hosts.isEmpty()) failure.left() else hosts.right()
    }

    /** Discards the time to live, so that the next use fetches the list again. */
    suspend fun expire() = mutex.withLock { validUntilMs = Long.MIN_VALUE }

    private suspend fun refresh(): Failure? {
        val known = hosts.map { it.address }.shuffled(random)
        val targets = (known + seeds.shuffled(random)).distinct().take(MAX_TARGETS)
        for (target in targets) {
            val list = fetch(target) ?: continue
            hosts = list.hosts.mapNotNull { it.toHost() }
            validUntilMs = clock.nowMs() + list.ttlMs
            return null
        }
        validUntilMs = clock.nowMs() + RETRY_DELAY_MS
        return Failure(
            ResultCode.HOST_UNREACHABLE,
            "none of the hosts $targets returned a host list"
        )
    }

    private suspend fun fetch(target: NetworkAddress): HostListBody? = try {
        withTimeout(settings.connectTimeoutMs) {
            val text = http.get("http://$target/v1/hosts").bodyAsText()
            json.decodeFromString(HostListBody.serializer(), text).takeIf { it.hosts.isNotEmpty() }
        }
    } catch (e: TimeoutCancellationException) {
        null
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        null
    }

    private companion object {
        const val MAX_TARGETS = 6
        const val RETRY_DELAY_MS = 200L
    }
}
