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
import { createEntryComponents } from './createEntryComponents.js'
import type { EntryComponents } from './createEntryComponents.js'
import { createPeerService } from './peers/createPeerService.js'

/** An entry whose servers listen. */
export interface RunningEntry {
  /** Address that the API server listens on, as `host:port`. */
  apiAddress: string
  /** Address that the session server (agents and other entries) listens on, as `host:port`. */
  sessionAddress: string
  /** Resolves once the entry is ready for requests for the first time. */
  ready: Promise<void>
  /** Stops gracefully: waits until all jobs have ended and all requests are answered. The caller may end this early with `cut`. */
  stop: () => Promise<void>
  /** Ends a graceful stop early by failing all open jobs; returns their keys. */
  cut: () => string[]
}

const log = createLogger('entry')
const DRAIN_CHECK_MS = 20
/** Delay before the listeners close, in ms, so that the last answers reach their callers and balancers notice the stop. */
const CLOSE_DELAY_MS = 100

const clusterTokenInterceptor = (clusterToken: string): Interceptor => (next) => async (req) => {
  const token = req.header.get(CLUSTER_TOKEN_HEADER) ?? ''
  if (!isSameSecret(token, clusterToken)) throw new ConnectError('wrong cluster token', Code.Unauthenticated)
  return next(req)
}

const listen = async (server: Server | Http2Server, host: string, port: number): Promise<string> => {
  server.listen(port, host)
  await once(server, 'listening')
  return `${host}:${(server.address() as AddressInfo).port}`
}

const createSessionServer = (settings: EntrySettings, components: EntryComponents): Http2Server =>
  createHttp2Server(connectNodeAdapter({
    interceptors: [clusterTokenInterceptor(settings.clusterToken)],
    routes: (router) => {
      router.service(SessionService, components.sessions.service)
      router.service(PeerService, createPeerService(components.jobs, components.directory, components.configWatch, components.clusterView))
    }
  }))

/** Closes a server and the HTTP/2 sessions that are still open on it. */
const closeSessionServer = async (server: Http2Server, openSessions: Set<ServerHttp2Session>): Promise<void> => {
  const closed = once(server, 'close')
  server.close()
  for (const session of openSessions) session.destroy()
  await closed
}

const trackSessions = (server: Http2Server): Set<ServerHttp2Session> => {
  const openSessions = new Set<ServerHttp2Session>()
  server.on('session', (session) => {
    openSessions.add(session)
    session.on('close', () => openSessions.delete(session))
  })
  return openSessions
}

const startBackgroundLoops = (components: EntryComponents, settings: EntrySettings): (() => void) => {
  const controller = new AbortController()
  const repeat = async (pass: () => Promise<void>, pauseMs: number): Promise<void> => {
    while (!controller.signal.aborted) {
      await pass()
      await components.clock.sleep(pauseMs)
    }
  }
  void components.directory.run()
  void components.announcement.run()
  void components.configWatch.run()
  void repeat(components.sweepClaims, settings.heartbeatMs)
  void repeat(async () => components.ownedJobs.trim(), settings.heartbeatMs)
  return () => {
    controller.abort()
    components.announcement.stop()
    components.configWatch.stop()
  }
}

/** Counts requests that have no response yet; some of them wait for jobs of other entries. */
const countOpenRequests = (server: Server): (() => number) => {
  let openRequests = 0
  server.on('request', (_req, res) => {
    openRequests++
    res.once('close', () => { openRequests-- })
  })
  return () => openRequests
}

const drain = async (components: EntryComponents, openRequests: () => number, isCut: () => boolean): Promise<void> => {
  while ((components.jobs.size > 0 || openRequests() > 0) && !isCut()) await components.clock.sleep(DRAIN_CHECK_MS)
}

/**
 * Starts an entry: its API server, its session server and its background loops.
 *
 * @param settings - validated settings
 * @returns the entry once both servers listen; it is ready later
 */
export const startEntry = async (settings: EntrySettings): Promise<RunningEntry> => {
  const components = createEntryComponents(settings)
  const sessionServer = createSessionServer(settings, components)
  const openSessions = trackSessions(sessionServer)
  const apiServer = createApiServer(components.apiContext)
  const openRequests = countOpenRequests(apiServer)
  const sessionAddress = await listen(sessionServer, settings.listenHost, settings.sessionPort)
  const apiAddress = await listen(apiServer, settings.listenHost, settings.apiPort)
  components.addresses.session = settings.advertiseSession || sessionAddress
  components.addresses.api = settings.advertiseApi || apiAddress
  const stopLoops = startBackgroundLoops(components, settings)
  const ready = components.readiness.warmUp()
  void ready.then(() => log('ready', { entry: settings.entryId, api: components.addresses.api, session: components.addresses.session }))
  let isCut = false

  const stop = async (): Promise<void> => {
    log('stopping', { entry: settings.entryId, jobs: components.jobs.size })
    components.readiness.stop()
    components.jobs.stop()
    components.sessions.leave()
    void components.directory.leave()
    await drain(components, openRequests, () => isCut)
    stopLoops()
    await components.directory.stop()
    await components.clock.sleep(CLOSE_DELAY_MS)
    apiServer.close()
    apiServer.closeIdleConnections()
    components.sessions.closeAll()
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
      isCut = true
      return components.failOpenJobs()
    }
  }
}
