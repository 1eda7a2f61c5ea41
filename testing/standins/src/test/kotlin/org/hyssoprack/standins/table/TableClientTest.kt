package org.hyssoprack.standins.table

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isInstanceOf
import assertk.assertions.isNotNull
import assertk.assertions.isNull
import kotlin.reflect.KClass
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import org.hyssoprack.standins.platform.Outage
import org.hyssoprack.standins.platform.freeAddress
import org.hyssoprack.standins.platform.serve
import org.hyssoprack.store.RowKey
import org.hyssoprack.store.WriteResult
import org.hyssoprack.store.http.HttpTableService
import org.hyssoprack.store.http.PlatformServiceClient
import org.hyssoprack.store.http.PlatformSettings

class TableClientTest {
    private data class Case(
        val name: String,
        val faults: TableFaults,
        val result: KClass<out WriteResult>,
        val isWrittenImmediately: Boolean,
        val isWrittenEventually: Boolean
    )

    private val cases = listOf(
        Case("no fault", TableFaults(), WriteResult.Applied::class, true, true),
        Case("slow", TableFaults(delayMs = 50), WriteResult.Applied::class, true, true),
        Case(
            "unavailable",
            TableFaults(outage = Outage.UNAVAILABLE),
            WriteResult.Refused::class,
            isWrittenImmediately = false,
            isWrittenEventually = false
        ),
        Case(
            "hanging",
            TableFaults(outage = Outage.HANG),
            WriteResult.Undecided::class,
            isWrittenImmediately = false,
            isWrittenEventually = false
        ),
        Case(
            "reply lost",
            TableFaults(loseReplyShare = 1.0),
            WriteResult.Undecided::class,
            isWrittenImmediately = true,
            isWrittenEventually = true
        ),
        Case(
            "late",
            TableFaults(lateShare = 1.0, lateMs = 1_500),
            WriteResult.Undecided::class,
            isWrittenImmediately = false,
            isWrittenEventually = true
        )
    )

    private val key = RowKey(table = "things", key = "a/b~c d")

    @Example
    fun `each fault leads to a write result that matches the stored row`() = cases.forEach { case ->
        withTable { faults, table ->
            faults.set(case.faults)
            val result = table.compareAndSet(key, expected = 0, value = "{}")
            faults.set(TableFaults())
            val immediateRow = table.read(key).getOrNull()
            assertThat(result, case.name).isInstanceOf(case.result)
            assertThat(immediateRow != null, case.name).isEqualTo(case.isWrittenImmediately)
            if (case.isWrittenEventually) awaitRow(table)
        }
    }

    @Example
    fun `a write over the rate limit is refused and leaves the row unchanged`() = withTable {
            faults,
            table
        ->
        faults.set(TableFaults(writesPerSecond = 1))
        table.compareAndSet(key, expected = 0, value = "1")
        val result = table.compareAndSet(key, expected = 1, value = "2")
        assertThat(result).isInstanceOf(WriteResult.Refused::class)
        assertThat(table.read(key).getOrNull()?.value).isEqualTo("1")
    }

    @Example
    fun `a write with a wrong expected revision returns the current row`() = withTable { _, table ->
        table.compareAndSet(key, expected = 0, value = "1")
        val result = table.compareAndSet(key, expected = 0, value = "2")
        assertThat((result as WriteResult.Conflict).current?.value).isEqualTo("1")
    }

    @Example
    fun `revisions keep increasing after a row is deleted`() = withTable { _, table ->
        table.compareAndSet(key, expected = 0, value = "1")
        table.compareAndDelete(key, expected = 1)
        assertThat(table.read(key).getOrNull()).isNull()
        val result = table.compareAndSet(key, expected = 0, value = "2")
        assertThat((result as WriteResult.Applied).row.revision).isEqualTo(3)
    }

    @Example
    fun `a scan returns the rows with the prefix in key order`() = withTable { _, table ->
        listOf("b2", "a1", "b1", "c1").forEach {
            table.compareAndSet(RowKey("things", it), expected = 0, value = it)
        }
        val keys = table.scan("things", prefix = "b").getOrNull()?.map { it.key.key }
        assertThat(keys).isEqualTo(listOf("b1", "b2"))
    }

    @Example
    fun `a write to an address where nothing listens is refused`() = runBlocking {
        PlatformServiceClient(freeAddress()).use {
            val result = HttpTableService(it).compareAndSet(key, expected = 0, value = "1")
            assertThat(result).isInstanceOf(WriteResult.Refused::class)
        }
    }

    private fun withTable(block: suspend (TableFaultInjector, HttpTableService) -> Unit) =
        runBlocking {
            val address = freeAddress()
            val routes = TableRoutes(scope = CoroutineScope(Dispatchers.Default))
            serve(name = "table", address = address.toString()) { routes.install(this) }.use {
                PlatformServiceClient(address, PlatformSettings(requestTimeoutMs = 500)).use {
                    block(routes.injector, HttpTableService(it))
                }
            }
        }

    private suspend fun awaitRow(table: HttpTableService) = withTimeout(WAIT_MS) {
        while (table.read(key).getOrNull() == null) delay(STEP_MS)
        assertThat(table.read(key).getOrNull()).isNotNull()
    }

    private companion object {
        const val WAIT_MS = 10_000L
        const val STEP_MS = 50L
    }
}
