package org.hyssoprack.cli

import org.hyssoprack.settings.Bundle

/** Formats the difference of two bundles: lines of the policy, then accounts and their keys. */
internal object BundleDiff {
    /** Returns removed and added lines, marked `-` and `+`; policy lines come with context. */
    fun text(from: Bundle, to: Bundle): String {
        val policy = LineDiff.text(from.policy.lines(), to.policy.lines())
        val accounts = accounts(from, to)
        if (policy.isEmpty() && accounts.isEmpty()) return "no difference\n"
        val parts = listOf("policy\n" to policy, "accounts\n" to accounts)
        return parts.filter { it.second.isNotEmpty() }.joinToString("") { it.first + it.second }
    }

    private fun accounts(from: Bundle, to: Bundle): String {
        val before = from.accounts.associateBy { it.name.value }
        val after = to.accounts.associateBy { it.name.value }
        return (before.keys + after.keys).sorted().joinToString("") { name ->
            val old = before[name]?.keyHashes?.map { it.value }
            val new = after[name]?.keyHashes?.map { it.value }
            when {
                old == null -> "+ $name with ${new!!.size} keys\n"
                new == null -> "- $name with ${old.size} keys\n"
                else -> keys(name, old.toSet(), new.toSet())
            }
        }
    }

    private fun keys(name: String, old: Set<String>, new: Set<String>): String =
        (old - new).joinToString("") { "- $name: key $it\n" } +
            (new - old).joinToString("") { "+ $name: key $it\n" }
}
