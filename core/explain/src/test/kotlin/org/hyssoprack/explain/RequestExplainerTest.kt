package org.hyssoprack.explain

import assertk.assertThat
import assertk.assertions.contains
import assertk.assertions.isEqualTo
import assertk.assertions.isTrue
import net.jqwik.api.Example

class RequestExplainerTest {
    private class Case(
        val name: String,
        val cause: Cause,
        val summary: String,
        vararg val lines: String
    )

    private val refused = "10.000 event=request-refused self=a request=x code=2005 " +
        "detail=\"Settings were confirmed 4260 ms ago.\" settings=3 settingsAgeMs=4261"
    private val lostHere = "06.000 event=store-lost self=a table=op code=6000 detail=\"no reply\""
    private val lostThere = "06.010 event=store-lost self=b table=op code=6000 detail=\"no reply\""

    @Example
    fun `the cause is found from the request's id`() {
        val cases = listOf(
            Case(
                "the store is unavailable",
                Cause.STORE_AWAY,
                "1 of 1",
                lostHere,
                lostThere,
                refused
            ),
            Case(
                "only this host has lost the store",
                Cause.HOST_CUT_OFF,
                "0 of 1",
                lostHere,
                lostThere,
                "07.000 event=store-regained self=b table=op failures=3",
                refused
            ),
            Case(
                "the quota is used up",
                Cause.NOT_ALLOWED,
                "bakery",
                "10.000 event=request-refused self=a request=x code=2011 detail=\"bakery asks\""
            ),
            Case(
                "a server breaks the stream",
                Cause.SERVER_FAILED,
                "s1",
                ended("09.000", "y", "stream-broken", "servers=s1"),
                "09.500 event=server-changed self=a server=s1 service=null",
                ended("10.000", "x", "stream-broken", "servers=s0,s1 detail=closed")
            ),
            Case(
                "late from queueing",
                Cause.QUEUEING,
                "588",
                ended("10.000", "x", "ok", "servers=s1 queuedMs=588 firstMs=607 totalMs=650")
            ),
            Case(
                "no slot in time",
                Cause.QUEUEING,
                "No slot",
                ended("10.000", "x", "deadline-unreachable", "queuedMs=null totalMs=400")
            ),
            Case(
                "every server is limited",
                Cause.SERVER_LIMIT,
                "2.0 requests per second",
                "09.000 event=server-limit self=a change=learnt server=s1 perS=2.0",
                ended(
                    "10.000",
                    "x",
                    "servers-limited",
                    "detail=\"2.0 requests per second\" totalMs=4"
                )
            ),
            Case(
                "late at the server",
                Cause.SLOW_SERVER,
                "900 ms",
                ended("10.000", "x", "ok", "servers=s1 queuedMs=3 firstMs=900 totalMs=950")
            ),
            Case(
                "no fault",
                Cause.IN_ORDER,
                "ok",
                ended("10.000", "x", "ok", "servers=s1 queuedMs=0 firstMs=40 totalMs=90")
            ),
            Case(
                "the caller left",
                Cause.CALLER_LEFT,
                "left",
                ended("10.000", "x", "caller-left", "queuedMs=null totalMs=20")
            )
        )
        for (case in cases) {
            val found = explain(case.lines.toList())
            assertThat(found?.cause, case.name).isEqualTo(case.cause)
            assertThat(found?.summary.orEmpty(), case.name).contains(case.summary)
        }
    }

    @Example
    fun `a request refused for a part of its prompt is explained by that part's own log lines`() {
        class BlockedCase(val name: String, val end: String, val summary: String, val count: Int)
        val detail = "detail=\"Part 91bd of the prompt crashed 5 servers of the service.\""
        val history = listOf(
            "08.000 event=prompt-part self=a part=91bd change=suspected crashes=1",
            "09.000 event=prompt-part self=b part=91bd change=blocked crashes=5",
            "09.100 event=prompt-part self=b part=5c1e change=suspected crashes=1",
            "09.200 event=prompt-part self=b change=suspected",
            "11.000 event=prompt-part self=b part=91bd change=trial crashes=5"
        )
        val cases = listOf(
            BlockedCase(
                "ended",
                ended("10.000", "x", "prompt-part-blocked", "$detail part=91bd"),
                "Part 91bd of the prompt crashed 5",
                count = 2
            ),
            BlockedCase("refused", refusedFor("$detail part=91bd"), "crashed 5", count = 2),
            BlockedCase("part in the detail only", refusedFor(detail), "crashed 5", count = 2),
            BlockedCase("part null", refusedFor("$detail part=null"), "crashed 5", count = 2),
            BlockedCase("no detail", refusedFor("part=91bd"), "Part 91bd", count = 2),
            BlockedCase("another detail", refusedFor("detail=blocked"), "blocked", count = 0),
            BlockedCase("a part without lines", refusedFor("part=77"), "Part 77", count = 0),
            BlockedCase("neither part nor detail", refusedFor(""), "Part unknown", count = 0)
        )
        for (case in cases) {
            val found = explain(history + case.end)
            assertThat(found?.cause, case.name).isEqualTo(Cause.PROMPT_PART)
            assertThat(found?.summary.orEmpty(), case.name).contains(case.summary)
            assertThat(found?.evidence?.first().orEmpty(), case.name).contains("request=x")
            assertThat(found?.evidence?.drop(1).orEmpty(), case.name)
                .isEqualTo(history.take(case.count).map { it.substringAfter(' ') })
        }
    }

    @Example
    fun `a request refused as it crashed servers before is explained by its own log lines`() {
        val detail = "detail=\"The same request, request:0af3, crashed backend servers before.\""
        val history = listOf(
            "08.000 event=crashing-request self=a part=request:0af3 change=suspected crashes=2",
            "09.000 event=crashing-request self=b part=request:0af3 change=blocked crashes=3",
            "09.100 event=crashing-request self=b part=request:77 change=suspected crashes=2"
        )
        val ends = listOf(
            ended("10.000", "x", "request-blocked", detail),
            "10.000 event=request-refused self=a request=x code=2014 $detail"
        )
        for (end in ends) {
            val found = explain(history + end)
            assertThat(found?.cause, end).isEqualTo(Cause.CRASHING_REQUEST)
            assertThat(found?.evidence?.drop(1).orEmpty(), end)
                .isEqualTo(history.take(2).map { it.substringAfter(' ') })
        }
    }

    @Example
    fun `of many log lines about a part only the last ones before the refusal are listed`() {
        val history = (10..50).map {
            "08.0$it event=prompt-part self=a part=91bd change=trial number=$it"
        }
        val evidence = explain(history + refusedFor("part=91bd"))?.evidence.orEmpty()
        assertThat(evidence.drop(1))
            .isEqualTo(history.takeLast(10).map { it.substringAfter(' ') })
    }

    @Example
    fun `the sends of a request say from which of them its answer came`() {
        class SendsCase(val sends: String, val summary: String)
        val cases = listOf(
            SendsCase(
                "sent=2 skipped=0 sends=s1#12/3:503-not-run,s2#40/1:200-taken",
                "The answer came from send 2 of 2: server s2, connection 40, use 1."
            ),
            SendsCase(
                "sent=1 skipped=2 sends=s1#12/3:200-taken+2other-request",
                "The answer came from send 1 of 1: server s1, connection 12, use 3. " +
                    "Responses skipped: 2."
            ),
            SendsCase(
                "sent=2 skipped=0 sends=s1#1/1:200-lost-part-taken,s2#2/1:200-taken",
                "The answer came from send 1 and 2 of 2: server s1, connection 1, use 1; " +
                    "server s2, connection 2, use 1."
            ),
            SendsCase(
                "sent=2 skipped=0 sends=s1#1/1:200-lost-part-taken,s2#2/1:500-held",
                "A part of the answer came from send 1 of 2: server s1, connection 1, use 1."
            ),
            SendsCase(
                "sent=2 skipped=0 sends=s1#1/1:lost,s2#2/1:lost",
                "No answer came from any of 2 sends."
            ),
            SendsCase(
                "sent=30 skipped=0 sends=s1#1/1:lost,s2#2/1:200-taken unlisted=28",
                "The answer came from send 30 of 30: server s2, connection 2, use 1."
            )
        )
        val end = ended("10.000", "x", "ok", "servers=s1 queuedMs=0 firstMs=40 totalMs=90")
        val later = "11.000 event=failover-refused self=a request=x code=1"
        for (case in cases) {
            val line = "10.000 event=request-sends self=a request=x ${case.sends}"
            val found = explain(listOf(line, end, later))
            assertThat(found?.cause, case.sends).isEqualTo(Cause.IN_ORDER)
            assertThat(found?.summary.orEmpty(), case.sends)
                .isEqualTo("The request ended with ok. ${case.summary}")
            assertThat(found?.evidence.orEmpty(), case.sends)
                .isEqualTo(listOf(end, line).map { it.substringAfter(' ') })
        }
    }

    @Example
    fun `the sends of an earlier request with the same id say nothing about the last one`() {
        val line = "09.000 event=request-sends self=a request=x sent=2 sends=s1#1/1:200-taken"
        val first = ended("09.000", "x", "ok", "servers=s1 totalMs=90")
        val second = ended("10.000", "x", "ok", "servers=s1 totalMs=80")
        assertThat(explain(listOf(line, first, second))?.summary)
            .isEqualTo("The request ended with ok.")
    }

    @Example
    fun `an id without a log line is an error`() {
        assertThat(RequestExplainer(emptyList()).explain("x").isLeft()).isTrue()
    }

    private fun explain(lines: List<String>): Explanation? {
        val events = lines.mapNotNull { HostEvent.parse("2026-01-02T03:04:$it") }
        return RequestExplainer(events).explain("x").getOrNull()
    }

    private fun refusedFor(more: String) =
        "10.000 event=request-refused self=a request=x code=2013 $more"

    private fun ended(time: String, request: String, code: String, more: String) =
        "$time event=request-ended self=a request=$request route=r code=$code $more"
}
