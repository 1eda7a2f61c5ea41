package org.hyssoprack.daemon

import org.hyssoprack.platform.HostList
import org.hyssoprack.platform.ObjectStore
import org.hyssoprack.platform.TableService
import org.hyssoprack.platform.WeightStore
import org.hyssoprack.platform.http.HttpHostList
import org.hyssoprack.platform.http.HttpObjectStore
import org.hyssoprack.platform.http.HttpTableService
import org.hyssoprack.platform.http.HttpWeightStore
import org.hyssoprack.platform.http.StoreConnection

/** Clients of the platform's services, as the settings name them. */
internal class PlatformClients(settings: DaemonSettings) {
    val table: TableService = HttpTableService(StoreConnection(settings.tableService))
    val objects: ObjectStore = HttpObjectStore(StoreConnection(settings.objectStore))
    val hostList: HostList = HttpHostList(StoreConnection(settings.hostList))
    val weights: WeightStore = HttpWeightStore(StoreConnection(settings.weightStore))
}
