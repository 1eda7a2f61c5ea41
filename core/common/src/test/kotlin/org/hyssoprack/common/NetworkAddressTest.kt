package org.hyssoprack.common

import assertk.assertThat
import assertk.assertions.isEqualTo
import net.jqwik.api.Example

class NetworkAddressTest {
    @Example
    fun `numeric addresses with a port are parsed, all others are not`() {
        class Case(val text: String, val ip: String?, val port: Int = 80)
        val longest = "[0000:0000:0000:0000:0000:ffff:255.255.255.255]:65535"
        val cases = listOf(
            Case("10.0.0.9:80", "10.0.0.9"),
            Case("255.255.255.255:65535", "255.255.255.255", 65_535),
            Case("[::1]:80", "::1"),
            Case("::1:80", "::1"),
            Case("[fe80::1:2]:80", "fe80::1:2"),
            Case(longest, longest.substring(1, 46), 65_535),
            Case("1$longest", null),
            Case("10.0.0.256:80", null),
            Case("10.0.0:80", null),
            Case("10.0.0.9", null),
            Case("10.0.0.9:0", null),
            Case("10.0.0.9:65536", null),
            Case("10.0.0.9:+80", null),
            Case("10.0.0.9:-80", null),
            Case("10.0.0.9:٨٠", null),
            Case("10.0.0.9:080000", null),
            Case("10.0.0.9:", null),
            Case("[::1%eth0]:80", null),
            Case("[10.0.0.9:80", null),
            Case("host:80", null),
            Case("::::::::80", null),
            Case(":", null),
            Case("", null)
        )
        for (case in cases) {
            val expected = case.ip?.let { NetworkAddress(it, case.port) }
            assertThat(NetworkAddress.parse(case.text), case.text).isEqualTo(expected)
        }
    }

    /** Guards against an address that takes time with the square of its length. */
    @Example
    fun `a text that is too long is rejected by its length alone`() {
        val unread = object : CharSequence {
            override val length = Int.MAX_VALUE

            override fun get(index: Int) = error("read at $index")

            override fun subSequence(startIndex: Int, endIndex: Int) = error("copied")
        }
        assertThat(NetworkAddress.parse(unread)).isEqualTo(null)
    }
}
