package org.hyssoprack.standins.table

import java.util.TreeMap
import org.hyssoprack.common.Clock
import org.hyssoprack.common.SystemClock
import org.hyssoprack.store.Row
import org.hyssoprack.store.RowKey
import org.hyssoprack.store.http.TableWrite

/** The rows in memory, their revisions and the log of writes. */
internal class TableStore(private val clock: Clock = SystemClock) {
    private val rows = HashMap<String, TreeMap<String, Row>>()
    private val deletedRevisions = HashMap<RowKey, Long>()
    private val log = ArrayList<WriteRecord>()

    @Synchronized
    fun read(key: RowKey): Row? = rows[key.table]?.get(key.key)

    @Synchronized
    fun scan(table: String, prefix: String): List<Row> =
        rows[table]?.tailMap(prefix)?.values?.takeWhile { it.key.key.startsWith(prefix) }.orEmpty()

    /** Applies [write] if the row has the expected revision; returns null otherwise. */
    @Synchronized
    fun write(write: TableWrite, replyLost: Boolean): Row? {
        val current = read(write.key)
        val applied = (current?.revision ?: 0) == write.expected
        val next = if (applied) apply(write) else null
        log.add(record(write, next, current, replyLost))
        return next
    }

    @Synchronized
    fun logAfter(sequence: Long): List<WriteRecord> = log.drop(sequence.toInt())

    private fun apply(write: TableWrite): Row {
        val last = read(write.key)?.revision ?: deletedRevisions[write.key] ?: 0
        val row = Row(key = write.key, revision = last + 1, value = write.value.orEmpty())
        val table = rows.getOrPut(write.key.table) { TreeMap() }
        if (write.value == null) {
            table.remove(write.key.key)
            deletedRevisions[write.key] = row.revision
        } else {
            table[write.key.key] = row
        }
        return row
    }

    private fun record(write: TableWrite, next: Row?, current: Row?, replyLost: Boolean) =
        WriteRecord(
            sequence = log.size + 1L,
            atMs = clock.epochMs(),
            key = write.key,
            expected = write.expected,
            applied = next != null,
            revision = (next ?: current)?.revision ?: 0,
            value = write.value,
            replyLost = replyLost
        )
}
