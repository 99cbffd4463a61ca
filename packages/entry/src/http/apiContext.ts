import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ConfigStore, ConfigWatch, JobService } from '@hazellift/coordination'
import type { EntrySettings } from '@hazellift/protocol'
import type { Registry } from 'prom-client'
import type { ConfigPropagation } from '../peers/configPropagation.js'
import type { EntryMetrics } from '../operations/entryMetrics.js'
import type { ClusterView } from '../operations/clusterView.js'

/** What the request handlers work with. */
export interface ApiContext {
  settings: EntrySettings
  jobs: JobService
  configWatch: ConfigWatch
  configStore: ConfigStore
  configPropagation: ConfigPropagation
  clusterView: ClusterView
  metrics: EntryMetrics
  registry: Registry
  isReady: () => boolean
}

/** One request with the parameters of its path and query. */
export interface ApiRequest {
  req: IncomingMessage
  res: ServerResponse
  params: Record<string, string | undefined>
  query: Record<string, string>
}

/** Handles the requests of one route. */
export type ApiHandler = (context: ApiContext, request: ApiRequest) => Promise<void> | void
