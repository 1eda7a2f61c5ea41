package org.hyssoprack.policy

import java.util.Random

/** Writes random valid policies in many layouts. */
internal class PolicyTextGenerator(private val random: Random) {
    private val tiers = List(1 + random.nextInt(4)) { "t$it" }
    private val accounts = List(1 + random.nextInt(5)) { "acc_$it" }
    private val pools = List(1 + random.nextInt(3)) { "pool-$it" }

    fun text(): String {
        val words = tiers.flatMap { tier(it) } +
            accounts.flatMap {
                listOf("account", it) + optional("share", "${1 + random.nextInt(9)}")
            } +
            pools.indices.flatMap { pool(it) } +
            List(random.nextInt(5)) { route(it) }.flatten()
        return words.joinToString("") { it + gap() }
    }

    private fun tier(name: String) =
        listOf("tier", name, "objective", "${1 + random.nextInt(98)}.50", "%")

    private fun pool(index: Int): List<String> {
        val engines = index % 2 == 0
        val target = if (engines) listOf("engines", "model") else listOf("service")
        val forEngines = optional("first-token", "${1 + random.nextInt(9)}", unit()) +
            optional("between-tokens", "${1 + random.nextInt(9)}00", "ms") +
            optional("long-share", "${1 + random.nextInt(99)}", "%")
        return listOf("pool", pools[index], "{") + target + quoted("x$index") +
            (if (engines) forEngines else emptyList()) +
            tiers.dropLast(1).flatMap {
                optional("headroom", it, "${1 + random.nextInt(20)}.5", "%")
            } +
            optional("preempt", "after", "${random.nextInt(60)}", "s") +
            optional("queue", "${1 + random.nextInt(5_000)}") +
            optional("routing", pick("cost", "round-robin", "least-reported-load")) +
            optional("queueing", pick("tiered", "arrival")) + "}"
    }

    private fun route(index: Int): List<String> {
        val tests = listOf("lane", quoted("lane \\\\ \\\" $index")) +
            optional("and", "account", "in", "(", accounts.first(), ")") +
            optional("and", "method", pick("GET", "POST")) +
            optional("and", "path", quoted(pick("/a", "/b/*")))
        // Only routes of the highest tier may be `once`, whatever other routes there are.
        val once = optional("once")
        val tier = if (once.isEmpty()) tiers.random() else tiers.first()
        return listOf("route", "route$index", "{", "when") + tests +
            listOf("tier", tier, "pool", pools.random(), "deadline", "${1 + random.nextInt(300)}") +
            unit() + once + "}"
    }

    private fun <T> List<T>.random(): T = this[random.nextInt(size)]

    private fun pick(vararg choices: String): String = choices.toList().random()

    private fun unit(): String = pick("ms", "s", "min")

    private fun quoted(text: String): String = "\"$text\""

    private fun optional(vararg words: String): List<String> =
        if (random.nextBoolean()) words.toList() else emptyList()

    private fun gap(): String = pick(" ", "  ", "\n", "\t", " # note\n", "\n# a\n\n# b\n", "\r\n")
}
