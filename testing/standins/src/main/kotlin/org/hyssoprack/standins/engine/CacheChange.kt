package org.hyssoprack.standins.engine

/** Published prefix hashes that one store operation added and evicted. */
internal data class CacheChange(val stored: Long?, val evicted: List<Long>)
