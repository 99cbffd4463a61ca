import { once } from 'node:events'
import { createServer as createHttp2Server } from 'node:http2'
import type { Http2Server, ServerHttp2Session } from 'node:http2'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Code, ConnectError } from '@connectrpc/connect'
import type { Interceptor } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { createLogger } from '@hazellift/common'
import { CLUSTER_TOKEN_HEADER, PeerService, SessionService } from '@hazellift/protocol'
import type { EntrySettings } from '@hazellift/protocol'
import { createApiServer } from './http/createApiServer.js'
import { isSameSecret } from './http/authenticate.js'
import { createEntryParts } from './createEntryParts.js'
import type { EntryParts } from './createEntryParts.js'
import { createPeerService } from './peers/createPeerService.js'

/** A running entry. */
export interface RunningEntry {
  apiAddress: string
  sessionAddress: string
  /** Resolves once the entry takes requests for the first time. */
  ready: Promise<void>
  /** Stops gracefully: nothing that runs is interrupted within the grace time. */
  stop: () => Promise<void>
  /** Ends a graceful stop early; gives the keys of the jobs that are cut. */
  cut: () => string[]
}

const log = createLogger('entry')
const DRAIN_CHECK_MS = 20
/** Time for callers of this moment's answers, and for balancers, before the listeners close. */
const CLOSE_DELAY_MS = 100

const requireClusterToken = (clusterToken: string): Interceptor => (next) => async (req) => {
  const token = req.header.get(CLUSTER_TOKEN_HEADER) ?? ''
  if (!isSameSecret(token, clusterToken)) throw new ConnectError('wrong cluster token', Code.Unauthenticated)
  return next(req)
}

const listen = async (server: Server | Http2Server, host: string, port: number): Promise<string> => {
  server.listen(port, host)
  await once(server, 'listening')
  return `${host}:${(server.address() as AddressInfo).port}`
}

const createSessionServer = (settings: EntrySettings, parts: EntryParts): Http2Server =>
  createHttp2Server(connectNodeAdapter({
    interceptors: [requireClusterToken(settings.clusterToken)],
    routes: (router) => {
      router.service(SessionService, parts.sessions.service)
      router.service(PeerService, createPeerService(parts.jobs, parts.directory, parts.watch, parts.view))
    }
  }))

/** Closes a server and what is still open on it. */
const closeSessionServer = async (server: Http2Server, open: Set<ServerHttp2Session>): Promise<void> => {
  const closed = once(server, 'close')
  server.close()
  for (const session of open) session.destroy()
  await closed
}

const trackSessions = (server: Http2Server): Set<ServerHttp2Session> => {
  const open = new Set<ServerHttp2Session>()
  server.on('session', (session) => {
    open.add(session)
    session.on('close', () => open.delete(session))
  })
  return open
}

const startLoops = (parts: EntryParts, settings: EntrySettings): (() => void) => {
  const controller = new AbortController()
  const repeat = async (pass: () => Promise<void>, pauseMs: number): Promise<void> => {
    while (!controller.signal.aborted) {
      await pass()
      await parts.clock.sleep(pauseMs)
    }
  }
  void parts.directory.run()
  void parts.announcement.run()
  void parts.watch.run()
  void repeat(parts.sweep, settings.heartbeatMs)
  void repeat(async () => parts.owned.trim(), settings.heartbeatMs)
  return () => {
    controller.abort()
    parts.announcement.stop()
    parts.watch.stop()
  }
}

/** Counts requests that are not answered; some wait for jobs of other entries. */
const countRequests = (server: Server): (() => number) => {
  let open = 0
  server.on('request', (_req, res) => {
    open++
    res.once('close', () => { open-- })
  })
  return () => open
}

const drain = async (parts: EntryParts, openRequests: () => number, isCut: () => boolean): Promise<void> => {
  while ((parts.jobs.size > 0 || openRequests() > 0) && !isCut()) await parts.clock.sleep(DRAIN_CHECK_MS)
}

/**
 * Starts an entry.
 *
 * @param settings - checked settings
 */
export const startEntry = async (settings: EntrySettings): Promise<RunningEntry> => {
  const parts = createEntryParts(settings)
  const sessionServer = createSessionServer(settings, parts)
  const openSessions = trackSessions(sessionServer)
  const apiServer = createApiServer(parts.api)
  const openRequests = countRequests(apiServer)
  const sessionAddress = await listen(sessionServer, settings.listenHost, settings.sessionPort)
  const apiAddress = await listen(apiServer, settings.listenHost, settings.apiPort)
  parts.addresses.session = settings.advertiseSession || sessionAddress
  parts.addresses.api = settings.advertiseApi || apiAddress
  const stopLoops = startLoops(parts, settings)
  const ready = parts.readiness.warmUp()
  void ready.then(() => log('ready', { entry: settings.entryId, api: parts.addresses.api, session: parts.addresses.session }))
  let cut = false

  const stop = async (): Promise<void> => {
    log('stopping', { entry: settings.entryId, jobs: parts.jobs.size })
    parts.readiness.stop()
    parts.jobs.stop()
    parts.sessions.leave()
    void parts.directory.leave()
    await drain(parts, openRequests, () => cut)
    stopLoops()
    await parts.directory.stop()
    await parts.clock.sleep(CLOSE_DELAY_MS)
    apiServer.close()
    apiServer.closeIdleConnections()
    parts.sessions.closeAll()
    await closeSessionServer(sessionServer, openSessions)
    apiServer.closeAllConnections()
    log('stopped', { entry: settings.entryId })
  }

  return {
    apiAddress,
    sessionAddress,
    ready,
    stop,
    cut: () => {
      cut = true
      return parts.cutJobs()
    }
  }
}
