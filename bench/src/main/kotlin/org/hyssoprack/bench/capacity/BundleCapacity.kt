package org.hyssoprack.bench.capacity

import java.security.MessageDigest
import kotlinx.serialization.json.Json
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.ContentHash
import org.hyssoprack.link.tcp.MessageSizes
import org.hyssoprack.settings.AccountEntry
import org.hyssoprack.settings.Bundle
import org.hyssoprack.settings.BundleCompiler
import org.hyssoprack.settings.BundleMessage
import org.hyssoprack.settings.BundleMessages

/** Measures the cost of a bundle on each host as a function of its client account count. */
internal class BundleCapacity {
    private val sizes = MessageSizes(BundleMessages.module)
    private val compiler = BundleCompiler()

    fun measure(): CapacityReport {
        repeat(WARM_UP_RUNS) { compile(json(WARM_UP_ACCOUNTS)) }
        val bytes = ACCOUNTS.map { Point(it.toDouble(), encodedBytes(it).toDouble()) }
        val cpu = ACCOUNTS.map { Point(it.toDouble(), compileUs(it)) }
        val memory = ACCOUNTS.map { Point(it.toDouble(), memoryBytes(it)) }
        val slopes = listOf(
            Slope.of("bundle: body between hosts", "accounts", "B", bytes),
            Slope.of("bundle: check and compile", "accounts", "CPU us", cpu),
            Slope.of("bundle: memory in force", "accounts", "B", memory)
        )
        return CapacityReport(slopes, figures = emptyList())
    }

    private fun encodedBytes(accounts: Int): Int {
        val message = BundleMessage.Body(
            version = BundleVersion(accounts.toLong()),
            hash = hashOf("bundle"),
            json = json(accounts)
        )
        return sizes.bytes(message) ?: error("BundleMessage.Body could not be encoded")
    }

    private fun compileUs(accounts: Int): Double {
        val json = json(accounts)
        val startNanos = Meter.threadCpuNanos()
        repeat(COMPILE_RUNS) { compile(json) }
        return (Meter.threadCpuNanos() - startNanos) / NANOS_PER_US / COMPILE_RUNS
    }

    private fun memoryBytes(accounts: Int): Double {
        val before = Meter.heapBytes()
        val compiled = List(COPIES) { compile(json(accounts)) }
        val after = Meter.heapBytes()
        check(compiled.size == COPIES)
        return (after - before).toDouble() / COPIES
    }

    private fun compile(json: String) = compiler
        .activate(BundleVersion(1), hashOf("bundle"), json)
        .fold({ error(it.toString()) }, { it })

    private fun json(accounts: Int): String {
        val names = List(accounts) { "account-$it" }
        val entries = names.map { AccountEntry(ClientAccount(it), listOf(hashOf(it))) }
        val bundle = Bundle(policy = policy(names), accounts = entries)
        return Json.encodeToString(Bundle.serializer(), bundle)
    }

    private fun policy(accounts: List<String>): String = BundlePolicy.text(accounts)

    private fun hashOf(text: String): ContentHash {
        val digest = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
        return ContentHash(digest.joinToString("") { "%02x".format(it) })
    }

    private companion object {
        val ACCOUNTS = listOf(500, 1_000, 2_000, 5_000, 11_000)
        const val WARM_UP_ACCOUNTS = 500
        const val WARM_UP_RUNS = 30
        const val COMPILE_RUNS = 5
        const val COPIES = 4
        const val NANOS_PER_US = 1_000.0
    }
}
