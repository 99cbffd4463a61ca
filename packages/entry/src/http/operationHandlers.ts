import { ClusterStatusSchema } from '@hazellift/protocol'
import { authenticateAdmin } from './authenticate.js'
import type { ApiHandler } from './apiContext.js'
import { sendError, sendMessage } from './reply.js'

/** The process lives. */
export const getHealth: ApiHandler = (_context, { res }) => {
  res.writeHead(200, { 'content-type': 'text/plain' }).end('ok\n')
}

/** The process takes requests. */
export const getReadiness: ApiHandler = ({ isReady }, { res }) => {
  const ready = isReady()
  res.writeHead(ready ? 200 : 503, { 'content-type': 'text/plain' }).end(ready ? 'ready\n' : 'not ready\n')
}

/** Metrics in Prometheus' text format. No label names a workspace. */
export const getMetrics: ApiHandler = async ({ registry }, { res }) => {
  const text = await registry.metrics()
  res.writeHead(200, { 'content-type': registry.contentType }).end(text)
}

/** What all entries see, for the administrator. */
export const getStatus: ApiHandler = async ({ settings, clusterView: view }, { req, res }) => {
  const auth = authenticateAdmin(req, settings.adminToken)
  if (!auth.ok) return sendError(res, auth.err)
  sendMessage(res, 200, ClusterStatusSchema, await view.clusterStatus())
}
