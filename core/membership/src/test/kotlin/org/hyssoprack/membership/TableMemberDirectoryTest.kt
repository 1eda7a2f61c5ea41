package org.hyssoprack.membership

import arrow.core.right
import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.isEmpty
import assertk.assertions.isEqualTo
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.RowKey

class TableMemberDirectoryTest {
    private val table = FakeTable()
    private val directory = TableMemberDirectory(table)
    private val old = SimulatedNetwork.member(1, incarnation = 1)
    private val new = SimulatedNetwork.member(1, incarnation = 2)

    @Example
    fun `a registration takes one write`() = runBlocking {
        assertThat(directory.register(old)).isEqualTo(Unit.right())
        assertThat(table.writes).isEqualTo(1)
        assertThat(directory.list()).isEqualTo(listOf(old).right())
    }

    @Example
    fun `a later run replaces an earlier one and never the other way round`() = runBlocking {
        directory.register(old)
        assertThat(directory.register(new)).isEqualTo(Unit.right())
        assertThat(codeOf(directory.register(old).leftOrNull())).isEqualTo(ResultCode.LEASE_HELD)
        assertThat(members()).containsExactly(new)
    }

    @Example
    fun `a lost reply is resolved by reading the row`() = runBlocking {
        table.losesReply = true
        assertThat(directory.register(old)).isEqualTo(Unit.right())
    }

    @Example
    fun `an outage is reported`() = runBlocking {
        table.isDown = true
        val failure = directory.register(old).leftOrNull()
        assertThat(codeOf(failure)).isEqualTo(ResultCode.STORE_UNAVAILABLE)
    }

    @Example
    fun `the row of a dead run is removed but not that of a later run`() = runBlocking {
        directory.register(new)
        directory.remove(old.ref)
        assertThat(members()).containsExactly(new)
        directory.remove(new.ref)
        assertThat(members()).isEmpty()
    }

    @Example
    fun `a row that cannot be read hides no other host`() = runBlocking {
        val deep = "[".repeat(30_000)
        val texts = listOf("", "[]", "{}", "{\"ref\":7}", "{\"ref\":$deep", "{\"x\":$deep")
        directory.register(old)
        texts.forEachIndexed { index, text ->
            table.compareAndSet(RowKey("members", "other-$index"), 0, text)
        }
        assertThat(members()).containsExactly(old)
    }

    private suspend fun members() = directory.list().getOrNull().orEmpty()

    private fun codeOf(failure: Failure?) = failure?.code
}
