package org.hyssoprack.gateway.forwarding

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isLessThan
import com.sun.management.ThreadMXBean
import java.lang.management.ManagementFactory
import kotlin.random.Random
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange

class EventSplitterTest {
    @Example
    fun `only complete events are relayed`() {
        class Case(val pieces: List<String>, val relayed: List<String>, val id: String?)
        val cases = listOf(
            Case(listOf("id: 1\ndata: a\n\n"), listOf("id: 1\ndata: a\n\n"), "1"),
            Case(listOf("id: 1\ndata: a\n\nid: 2\nda"), listOf("id: 1\ndata: a\n\n"), "1"),
            Case(listOf("id: 1\n", "data: a\n", "\n"), listOf("", "", "id: 1\ndata: a\n\n"), "1"),
            Case(listOf("data: a\r\n\r\nda"), listOf("data: a\r\n\r\n"), null),
            Case(listOf("id: 7"), listOf(""), null),
            Case(listOf("data: a\r\n", "\r", "\n"), listOf("", "", "data: a\r\n\r\n"), null),
            Case(listOf("data: a\r", "\n\r", "\n"), listOf("", "", "data: a\r\n\r\n"), null),
            Case(listOf("data: a\n", "\r\nid: 2"), listOf("", "data: a\n\r\n"), null),
            Case(listOf("data: a\n\n", "\n", "\n"), listOf("data: a\n\n", "", "\n\n"), null),
            Case(listOf("data: a\n\nd", "\n", "\n"), listOf("data: a\n\n", "", "d\n\n"), null),
            Case(listOf("", "\n", "", "\n"), listOf("", "", "", "\n\n"), null)
        )
        for (case in cases) {
            val splitter = EventSplitter()
            val relayed = case.pieces.map { splitter.add(it.encodeToByteArray()).decodeToString() }
            assertThat(relayed, "${case.pieces}").isEqualTo(case.relayed)
            assertThat(splitter.lastEventId, "${case.pieces}").isEqualTo(case.id)
            val ends = case.relayed.sumOf { Regex("[^\\r\\n]\\r?\\n\\r?\\n").findAll(it).count() }
            assertThat(splitter.count, "${case.pieces}").isEqualTo(ends)
        }
    }

    @Example
    fun `an incomplete event is not joined with the events of another server`() {
        val splitter = EventSplitter()
        splitter.add("id: 1\ndata: a\n\nid: 2\ndata: b".encodeToByteArray())
        assertThat(splitter.hasPartialEvent).isEqualTo(true)
        splitter.dropPartial()
        val next = splitter.add("id: 2\ndata: B\n\n".encodeToByteArray())
        assertThat(next.decodeToString()).isEqualTo("id: 2\ndata: B\n\n")
    }

    /** Guards against a stream without the end of an event that blocks the host. */
    @Example
    fun `the work for a stream grows with its bytes, not with the number of its parts`() {
        val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
        class Case(val partBytes: Int, val text: String)
        val cases = listOf(
            Case(1, "x"),
            Case(16, "x"),
            Case(16, "data: x\n"),
            Case(1_000, "\r\n"),
            Case(65_536, "x")
        )
        for (case in cases) {
            val part = case.text.repeat(case.partBytes).encodeToByteArray().copyOf(case.partBytes)
            val splitter = EventSplitter()
            val before = threads.currentThreadAllocatedBytes
            repeat(STREAM_BYTES / case.partBytes) { splitter.add(part) }
            val allocated = threads.currentThreadAllocatedBytes - before
            assertThat(allocated, "${case.partBytes} ${case.text}")
                .isLessThan(MOST_COPIES * STREAM_BYTES)
        }
    }

    @Property(tries = 200)
    fun `events that are split at any place come out as without the splits`(
        @ForAll @LongRange(max = 1L shl 40) seed: Long
    ) {
        val random = Random(seed)
        val text = (1..random.nextInt(1, 60)).joinToString("") { TOKENS.random(random) }
        val whole = EventSplitter()
        val expected = whole.add(text.encodeToByteArray()).decodeToString()
        val splitter = EventSplitter()
        val relayed = StringBuilder()
        var at = 0
        while (at < text.length) {
            val end = minOf(text.length, at + random.nextInt(0, 4))
            val part = text.substring(at, end).encodeToByteArray()
            relayed.append(splitter.add(part).decodeToString())
            at = end
        }
        // Blank lines between events may end one more or less, but no byte is lost or added.
        assertThat(text.startsWith(relayed)).isEqualTo(true)
        assertThat(relayed.length + splitter.pendingBytes).isEqualTo(text.length)
        assertThat(relayed.toString().startsWith(expected) || expected.startsWith(relayed))
            .isEqualTo(true)
    }

    @Property(tries = 200)
    fun `however a stream is split, the events come out in order and complete`(
        @ForAll @LongRange(max = 1L shl 40) seed: Long
    ) {
        val random = Random(seed)
        val text = (1..20).joinToString("") {
            "id: $it\ndata: ${"x".repeat(random.nextInt(9))}\n\n"
        }
        val splitter = EventSplitter()
        val relayed = StringBuilder()
        var at = 0
        while (at < text.length) {
            val end = minOf(text.length, at + random.nextInt(1, 30))
            relayed.append(
                splitter.add(text.substring(at, end).encodeToByteArray()).decodeToString()
            )
            at = end
        }
        assertThat(relayed.toString()).isEqualTo(text)
    }

    private companion object {
        const val STREAM_BYTES = 524_288

        // The buffer doubles as it grows, and test frameworks allocate a little beside it.
        const val MOST_COPIES = 8L
        val TOKENS = listOf("\n", "\n", "\r\n", "\r", "x", "id: 3", "data: y")
    }
}
