import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { createLogger, errorMessage } from '@hazellift/common'
import { REASONS, RUN_STATES } from '@hazellift/protocol'
import createRouter from 'find-my-way'
import { getHistory, getPolicy, getWorkspace, listWorkspaces, putPolicy, putWorkspace } from './configHandlers.js'
import type { ApiContext, ApiHandler } from './apiContext.js'
import { notRunError } from './httpError.js'
import { cancelJob, getJob, submitJob } from './jobHandlers.js'
import { getHealth, getMetrics, getReadiness, getStatus } from './operationHandlers.js'
import { sendError } from './reply.js'
import { listZones, putZone } from './zoneHandlers.js'

type Method = 'GET' | 'POST' | 'PUT' | 'DELETE'

const ROUTES: readonly [Method, string, ApiHandler][] = [
  ['POST', '/v1/workspaces/:workspace/jobs', submitJob],
  ['GET', '/v1/workspaces/:workspace/jobs/:id', getJob],
  ['DELETE', '/v1/workspaces/:workspace/jobs/:id', cancelJob],
  ['GET', '/v1/workspaces', listWorkspaces],
  ['PUT', '/v1/workspaces/:workspace', putWorkspace],
  ['GET', '/v1/workspaces/:workspace', getWorkspace],
  ['PUT', '/v1/workspaces/:workspace/policy', putPolicy],
  ['GET', '/v1/workspaces/:workspace/policy', getPolicy],
  ['GET', '/v1/workspaces/:workspace/history', getHistory],
  ['GET', '/v1/zones', listZones],
  ['PUT', '/v1/zones/:zone', putZone],
  ['GET', '/v1/status', getStatus],
  ['GET', '/healthz', getHealth],
  ['GET', '/readyz', getReadiness],
  ['GET', '/metrics', getMetrics]
]
const METHODS: readonly Method[] = ['GET', 'POST', 'PUT', 'DELETE']

const log = createLogger('entry:api')

/**
 * The HTTP server for callers and operators.
 *
 * @param context - what the handlers work with
 */
export const createApiServer = (context: ApiContext): Server => {
  const router = createRouter({
    defaultRoute: (req, res) => {
      const path = (req.url ?? '').split('?')[0]!
      const isKnown = METHODS.some((method) => router.find(method, path) !== null)
      sendError(res as never, isKnown
        ? notRunError(REASONS.methodNotAllowed, `${req.method} is not possible here`)
        : notRunError(REASONS.notFound, 'no such path'))
    }
  })
  for (const [method, path, handler] of ROUTES) {
    router.on(method, path, async (req, res, params, _store, query) => {
      try {
        await handler(context, { req: req as never, res: res as never, params, query: query as Record<string, string> })
      } catch (err) {
        log('request_failed', { method, path, error: errorMessage(err) })
        // What the request began is not known here.
        if (!res.headersSent) sendError(res as never, { reason: REASONS.internal, message: 'internal error', run: RUN_STATES.mayHaveRun })
      }
    })
  }
  const server = createServer((req, res) => router.lookup(req, res))
  server.keepAliveTimeout = 65_000
  return server
}
