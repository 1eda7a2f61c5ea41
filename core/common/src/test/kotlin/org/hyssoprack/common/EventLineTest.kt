package org.hyssoprack.common

import assertk.assertThat
import assertk.assertions.isEqualTo
import net.jqwik.api.ForAll
import net.jqwik.api.Property

class EventLineTest {
    @Property(tries = 200)
    fun `parsing a formatted line returns its fields`(@ForAll value: String) {
        val clean = value.filter { it >= ' ' && it != '\u0085' && it != '\u2028' && it != '\u2029' }
        val line = EventLine.format(name = "test", fields = listOf("key" eq clean))
        assertThat(EventLine.parse(line)).isEqualTo(listOf("event" eq "test", "key" eq clean))
    }
}
