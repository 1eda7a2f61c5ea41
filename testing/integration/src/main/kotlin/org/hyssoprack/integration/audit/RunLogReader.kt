package org.hyssoprack.integration.audit

import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.useLines
import org.hyssoprack.common.EventLine

/** Reads the executed requests from the logs of the emulated backend servers. */
object RunLogReader {
    /** Returns all runs in [logs], in log order; files that do not exist are skipped. */
    fun read(logs: List<Path>): List<BackendRun> = logs.filter { it.exists() }.flatMap(::readOne)

    private fun readOne(log: Path): List<BackendRun> = log.useLines { lines ->
        val runs = ArrayList<BackendRun>()
        lines.filter { it.startsWith("event=") }.forEach { addEvent(runs, fieldsOf(it)) }
        runs
    }

    private fun fieldsOf(line: String): Map<String, String> =
        EventLine.parse(line).associate { it.key to it.value.toString() }

    private fun addEvent(runs: MutableList<BackendRun>, fields: Map<String, String>) {
        when (fields["event"]) {
            "engine-accepted", "service-ran" -> runs += backendRun(fields)
            "engine-ended" -> recordEnd(runs, fields)
        }
    }

    private fun backendRun(fields: Map<String, String>) = BackendRun(
        server = fields["server"].orEmpty(),
        requestId = fields["request"].orEmpty(),
        bodyHash = fields["body_hash"].orEmpty(),
        beganMs = fields.getValue("epoch_ms").toLong()
    )

    private fun recordEnd(runs: MutableList<BackendRun>, fields: Map<String, String>) {
        val id = fields["request"]
        val index = runs.indexOfLast { it.requestId == id && it.endedMs == null }
        if (index < 0) return
        runs[index] = runs[index].copy(endedMs = fields.getValue("epoch_ms").toLong())
    }
}
