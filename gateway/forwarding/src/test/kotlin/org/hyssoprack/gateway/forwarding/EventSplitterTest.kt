package org.hyssoprack.gateway.forwarding

import assertk.assertThat
import assertk.assertions.isEqualTo
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
            Case(listOf("id: 7"), listOf(""), null)
        )
        for (case in cases) {
            val splitter = EventSplitter()
            val relayed = case.pieces.map { splitter.add(it.encodeToByteArray()).decodeToString() }
            assertThat(relayed, "${case.pieces}").isEqualTo(case.relayed)
            assertThat(splitter.lastEventId, "${case.pieces}").isEqualTo(case.id)
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
}
