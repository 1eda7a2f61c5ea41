package org.hyssoprack.standins.platform

import java.net.InetAddress
import java.net.ServerSocket
import org.hyssoprack.common.NetworkAddress

/** Returns a loopback address on which nothing listens. */
internal fun freeAddress(): NetworkAddress {
    val loopback = InetAddress.getLoopbackAddress()
    val port = ServerSocket(0, 1, loopback).use { it.localPort }
    return NetworkAddress(ip = "127.0.0.1", port = port)
}
