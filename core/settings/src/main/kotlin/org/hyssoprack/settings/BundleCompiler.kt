package org.hyssoprack.settings

import arrow.core.Either
import arrow.core.EitherNel
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.policy.CompiledPolicy
import org.hyssoprack.policy.DefaultPolicyCompiler
import org.hyssoprack.policy.PolicyCompiler
import org.hyssoprack.policy.PolicyFault

/** Validates the JSON of a bundle and compiles it. */
class BundleCompiler(private val policyCompiler: PolicyCompiler = DefaultPolicyCompiler()) {
    /** Returns the compiled bundle, or all faults found in the JSON and in its policy. */
    fun compile(json: String): EitherNel<BundleFault, CompiledBundle> {
        if (json.length > MAX_JSON_CHARS) return nonEmptyListOf(tooLong(json)).left()
        val reader = BundleReader()
        val bundle = reader.read(json)
        checkNames(bundle, reader)
        val accountByKeyHash = accountByKeyHash(bundle, reader)
        val policy = policyCompiler.compile(bundle.policy).fold(
            ifLeft = { faults ->
                if (bundle.policy.isNotEmpty()) reader.faults += policyFaults(faults)
                null
            },
            ifRight = { it }
        )
        if (policy != null) checkAgainst(policy, bundle, reader)
        if (policy == null && bundle.policy.isEmpty()) reader.fault("$.policy", "the text is empty")
        val faults = reader.faults.distinct().toNonEmptyListOrNull()
        if (faults != null) return faults.left()
        return CompiledBundle(bundle, policy!!, accountByKeyHash).right()
    }

    /** Compiles [json] as the accepted [version]. Fails with SETTINGS_INVALID. */
    fun activate(
        version: BundleVersion,
        hash: ContentHash,
        json: String
    ): Either<Failure, ActiveBundle> = compile(json).mapLeft { failure(it) }.map {
        ActiveBundle(
            version = version,
            hash = hash,
            policy = it.policy,
            accountByKeyHash = it.accountByKeyHash
        )
    }

    private fun tooLong(json: String) = BundleFault(
        code = ResultCode.SETTINGS_INVALID,
        path = "$",
        detail = "${json.length} characters; expected at most $MAX_JSON_CHARS"
    )

    private fun checkNames(bundle: Bundle, reader: BundleReader) {
        val seen = HashSet<ClientAccount>()
        for ((index, entry) in bundle.accounts.withIndex()) {
            if (seen.add(entry.name)) continue
            reader.fault("$.accounts[$index].name", "account '${entry.name}' is listed twice")
        }
    }

    private fun accountByKeyHash(
        bundle: Bundle,
        reader: BundleReader
    ): Map<ContentHash, ClientAccount> {
        val byHash = HashMap<ContentHash, ClientAccount>()
        for ((index, entry) in bundle.accounts.withIndex()) {
            for ((keyIndex, hash) in entry.keyHashes.withIndex()) {
                val other = byHash.putIfAbsent(hash, entry.name) ?: continue
                val path = "$.accounts[$index].keyHashes[$keyIndex]"
                reader.fault(path, "account '$other' has this key already")
            }
        }
        return byHash
    }

    private fun policyFaults(faults: NonEmptyList<PolicyFault>) = faults.map {
        val expected = if (it.expected.isEmpty()) {
            ""
        } else {
            "; expected ${it.expected.joinToString(
                " or "
            )}"
        }
        BundleFault(
            code = it.code,
            path = "$.policy",
            detail = "line ${it.line}, column ${it.column}: ${it.detail}$expected"
        )
    }

    private fun checkAgainst(policy: CompiledPolicy, bundle: Bundle, reader: BundleReader) {
        val listed = bundle.accounts.map { it.name }
        for ((index, name) in listed.withIndex()) {
            if (name in policy.accounts) continue
            reader.fault("$.accounts[$index].name", "the policy does not declare account '$name'")
        }
        for (name in policy.accounts.keys - listed.toSet()) {
            reader.fault("$.accounts", "account '$name' of the policy is not listed")
        }
    }

    companion object {
        /** Maximum length of the JSON text of a bundle, in UTF-16 code units. */
        const val MAX_JSON_CHARS = 16_000_000
        private const val MAX_SHOWN_FAULTS = 100

        /** Combines [faults] into one failure, with one fault per line of the detail. */
        fun failure(faults: NonEmptyList<BundleFault>): Failure = Failure(
            code = ResultCode.SETTINGS_INVALID,
            detail = faults.take(MAX_SHOWN_FAULTS).joinToString("\n")
        )
    }
}
