package org.hyssoprack.standins.engine

/** Published prefix hashes that a store put in and pushed out. */
internal data class CacheChange(val stored: Long?, val evicted: List<Long>)
