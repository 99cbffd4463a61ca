import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { fromJsonString } from '@bufbuild/protobuf'
import { errorMessage, fail, ok } from '@hazellift/common'
import type { Result } from '@hazellift/common'
import { AnnouncementSchema } from '@hazellift/protocol'
import type { Announcement } from '@hazellift/protocol'
import createRouter from 'find-my-way'
import type { Registry } from 'prom-client'
import type { AnnouncedEndpoint } from '../endpoint/announcedEndpoint.js'

/** What the agent's server needs. */
export interface AgentServerOptions {
  endpoint: AnnouncedEndpoint
  registry: Registry
  isReady: () => boolean
  /** Resolves once no task runs at the endpoint. */
  waitUntilIdle: () => Promise<void>
}

const MAX_BODY_BYTES = 16_384
const MAX_SLOTS = 10_000

const send = (res: ServerResponse, status: number, text: string): void => {
  res.writeHead(status, { 'content-type': 'text/plain' }).end(`${text}\n`)
}

const readText = async (req: IncomingMessage): Promise<Result<string, string>> => {
  let text = ''
  for await (const chunk of req) {
    text += String(chunk)
    if (text.length > MAX_BODY_BYTES) return fail(`the body is larger than ${MAX_BODY_BYTES} bytes`)
  }
  return ok(text)
}

const isHttpUrl = (text: string): boolean => URL.canParse(text) && new URL(text).protocol === 'http:'

/** What is wrong with an announcement, if anything. */
export const checkAnnouncement = ({ service, address, slots, connections }: Announcement): string | undefined => {
  if (!/^[a-z0-9][a-z0-9._-]{0,62}$/.test(service)) return 'service must be 1 to 63 lower-case letters, digits or ._-'
  if (!isHttpUrl(address)) return `address '${address}' is not an http:// URL`
  if (slots < 1 || slots > MAX_SLOTS) return `slots must be between 1 and ${MAX_SLOTS}`
  if (connections < 1 || connections > MAX_SLOTS) return `connections must be between 1 and ${MAX_SLOTS}`
  return undefined
}

const parseAnnouncement = (text: string): Result<Announcement, string> => {
  try {
    const announcement = fromJsonString(AnnouncementSchema, text)
    const fault = checkAnnouncement(announcement)
    return fault === undefined ? ok(announcement) : fail(fault)
  } catch (err) {
    return fail(errorMessage(err))
  }
}

const announce = async (endpoint: AnnouncedEndpoint, req: IncomingMessage, res: ServerResponse): Promise<void> => {
  const text = await readText(req)
  if (!text.ok) return send(res, 413, text.err)
  const announcement = parseAnnouncement(text.value)
  if (!announcement.ok) return send(res, 400, announcement.err)
  if (endpoint.announce(announcement.value) === 'accepted') return send(res, 200, 'announced')
  send(res, 409, 'another endpoint is announced here and has not left')
}

/**
 * The server for the endpoint beside the agent, and for operators: `PUT
 * /endpoint` announces (and is the heartbeat), `DELETE /endpoint` withdraws.
 *
 * @param options - endpoint, metrics and readiness
 */
export const createAgentServer = ({ endpoint, registry, isReady, waitUntilIdle: drained }: AgentServerOptions): Server => {
  const router = createRouter({ defaultRoute: (_req, res) => send(res as never, 404, 'no such path') })
  router.on('PUT', '/endpoint', (req, res) => announce(endpoint, req as never, res as never))
  router.on('DELETE', '/endpoint', async (_req, res) => {
    endpoint.remove('withdrew')
    // The endpoint may end once it has this answer: no request of ours is under way to it then.
    await drained()
    send(res as never, 200, 'withdrawn')
  })
  router.on('GET', '/healthz', (_req, res) => send(res as never, 200, 'ok'))
  router.on('GET', '/readyz', (_req, res) => send(res as never, isReady() ? 200 : 503, isReady() ? 'ready' : 'not ready'))
  router.on('GET', '/metrics', async (_req, res) => {
    const text = await registry.metrics()
    res.writeHead(200, { 'content-type': registry.contentType })
    res.end(text)
  })
  return createServer((req, res) => router.lookup(req, res))
}
