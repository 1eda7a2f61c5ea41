package org.hyssoprack.settings

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import java.util.UUID
import kotlinx.coroutines.delay
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.OperatorName
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.eq
import org.hyssoprack.store.ObjectStore
import org.hyssoprack.store.Row
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

/**
 * [BundleService] over the platform's table service and object store.
 *
 * @param peersReachable share of the listed peers that answer, from 0 to 1. Bundles are accepted
 *   only through a host that reaches at least half of them, so that any other host that reaches as
 *   many has a peer in common with it.
 * @param onAccepted called after a bundle was accepted through this host.
 * @param pause suspends for the given number of milliseconds between attempts to resolve a lost
 *   reply.
 */
class DefaultBundleService(
    private val table: TableService,
    private val objects: ObjectStore,
    private val log: EventLog,
    private val compiler: BundleCompiler = BundleCompiler(),
    private val peersReachable: () -> Double = { 1.0 },
    private val onAccepted: (AcceptedBundle) -> Unit = {},
    private val newChangeId: () -> String = { UUID.randomUUID().toString() },
    pause: suspend (Long) -> Unit = { delay(it) }
) : BundleService {
    private val writer = RowWriter(table, pause)
    private val history = BundleHistory(table, writer)

    override suspend fun propose(
        operator: OperatorName,
        json: String
    ): Either<Failure, ContentHash> = either {
        val body = json.encodeToByteArray()
        compiler.compile(body.decodeToString()).mapLeft { BundleCompiler.failure(it) }.bind()
        val hash = objects.put(body).bind()
        val proposal = Proposal(hash = hash, proposedBy = operator)
        // A conflict means that the same bundle was proposed before; its first proposer is kept.
        val result =
            writer.write(BundleRows.proposal(hash), 0, BundleRows.encode(proposal)) { true }
        raiseUnlessDecided(result, "propose", hash)
        log.event("bundle-proposed", "hash" eq hash, "operator" eq operator)
        hash
    }

    override suspend fun signOff(operator: OperatorName, hash: ContentHash): Either<Failure, Unit> =
        either {
            repeat(MAX_ATTEMPTS) {
                val row = proposalRow(hash)
                val proposal = BundleRows.proposal(row).bind()
                ensure(proposal.proposedBy != operator) {
                    val detail = "$operator proposed the bundle; another operator must sign it off"
                    Failure(ResultCode.SIGN_OFF_SELF, detail)
                }
                if (operator in proposal.signedOffBy) return@either
                val signed = proposal.copy(signedOffBy = proposal.signedOffBy + operator)
                val result = writer.write(row.key, row.revision, BundleRows.encode(signed)) {
                    operator in BundleRows.proposal(it).getOrNull()?.signedOffBy.orEmpty()
                }
                raiseUnlessDecided(result, "sign-off", hash)
                if (result is WriteResult.Applied) {
                    log.event("bundle-signed-off", "hash" eq hash, "operator" eq operator)
                    return@either
                }
            }
            val detail = "gave up after $MAX_ATTEMPTS conflicting sign-offs; retry the sign-off"
            raise(Failure(ResultCode.BUNDLE_CONFLICT, detail))
        }

    override suspend fun accept(
        operator: OperatorName,
        hash: ContentHash,
        base: BundleVersion
    ): Either<Failure, BundleVersion> = either {
        ensureSignedOff(hash)
        val row = table.read(BundleRows.ACCEPTED).bind()
        val current = row?.let { BundleRows.accepted(it).bind() }
        if ((current?.version ?: BundleVersion.NONE) != base) {
            return@either versionAcceptedEarlier(operator, hash, base, current)
        }
        ensureReachesHalfOfPeers()
        if (current != null) history.keep(current).bind()
        val next = AcceptedBundle(
            version = BundleVersion(base.value + 1),
            hash = hash,
            acceptedBy = operator,
            changeId = newChangeId()
        )
        replaceAccepted(row, next)
        log.event("bundle-accepted", "version" eq next.version, "hash" eq hash)
        onAccepted(next)
        next.version
    }

    override suspend fun show(hash: ContentHash): Either<Failure, String> =
        objects.get(hash).flatMap { it?.decodeToString()?.right() ?: unknown(hash).left() }

    override suspend fun history(): Either<Failure, List<AcceptedBundle>> = either {
        val row = table.read(BundleRows.ACCEPTED).bind()
        val current = row?.let { BundleRows.accepted(it).bind() } ?: return@either emptyList()
        history.upTo(current).bind()
    }

    private suspend fun Raise<Failure>.proposalRow(hash: ContentHash): Row =
        table.read(BundleRows.proposal(hash)).bind() ?: raise(unknown(hash))

    private suspend fun Raise<Failure>.ensureSignedOff(hash: ContentHash) {
        val proposal = BundleRows.proposal(proposalRow(hash)).bind()
        ensure(proposal.signedOffBy.isNotEmpty()) {
            val detail = "${proposal.proposedBy} proposed $hash; nobody else has signed it off"
            Failure(ResultCode.SIGN_OFF_MISSING, detail)
        }
    }

    private fun Raise<Failure>.ensureReachesHalfOfPeers() {
        ensure(peersReachable() >= MIN_REACHABLE) {
            val detail = "this host reaches less than half of its peers; use another host"
            Failure(ResultCode.HOST_ISOLATED, detail)
        }
    }

    private suspend fun Raise<Failure>.replaceAccepted(row: Row?, next: AcceptedBundle) {
        val revision = row?.revision ?: 0
        val result = writer.write(BundleRows.ACCEPTED, revision, BundleRows.encode(next)) {
            BundleRows.accepted(it).getOrNull()?.changeId == next.changeId
        }
        raiseUnlessDecided(result, "accept", next.hash)
        if (result !is WriteResult.Conflict) return
        val current = result.current?.let { BundleRows.accepted(it).bind() }
        // The write may have taken effect and been replaced since, so a failed read of the history
        // leaves the outcome undecided.
        val taken = history.version(next.version, current)
            .mapLeft { undecided(it, "accept", next.hash) }
            .bind()
        // An earlier attempt of the same operator may have taken effect meanwhile.
        if (!isSameChange(taken, next.hash, next.acceptedBy)) {
            raise(conflict(next.version, taken, current))
        }
    }

    private suspend fun Raise<Failure>.versionAcceptedEarlier(
        operator: OperatorName,
        hash: ContentHash,
        base: BundleVersion,
        current: AcceptedBundle?
    ): BundleVersion {
        val version = BundleVersion(base.value + 1)
        val taken = history.version(version, current).bind()
        if (isSameChange(taken, hash, operator)) return version
        raise(conflict(version, taken, current))
    }

    private fun isSameChange(taken: AcceptedBundle?, hash: ContentHash, operator: OperatorName) =
        taken?.hash == hash && taken.acceptedBy == operator

    private fun Raise<Failure>.raiseUnlessDecided(
        result: WriteResult,
        step: String,
        hash: ContentHash
    ) {
        if (result is WriteResult.Refused) raise(result.failure)
        if (result is WriteResult.Undecided) raise(undecided(result.failure, step, hash))
    }

    private fun undecided(cause: Failure, step: String, hash: ContentHash): Failure {
        log.event("bundle-undecided", "step" eq step, "hash" eq hash)
        val detail = "unknown whether the $step of $hash took effect (${cause.detail}); " +
            "it may still do so: check the history, or repeat the same step"
        return Failure(ResultCode.OUTCOME_UNDECIDED, detail)
    }

    private fun conflict(
        version: BundleVersion,
        taken: AcceptedBundle?,
        current: AcceptedBundle?
    ): Failure {
        val now = current?.version ?: BundleVersion.NONE
        val winner = taken?.let { "version $version is ${it.hash}, accepted by ${it.acceptedBy}; " }
        val detail = "${winner.orEmpty()}version $now is in force: compare with it and accept again"
        return Failure(ResultCode.BUNDLE_CONFLICT, detail)
    }

    private fun unknown(hash: ContentHash) =
        Failure(ResultCode.BUNDLE_UNKNOWN, "no bundle with the hash $hash was proposed")

    private companion object {
        const val MAX_ATTEMPTS = 5
        const val MIN_REACHABLE = 0.5
    }
}
