import { errorCode, errorMessage, fail, ok } from '@hazellift/common'
import type { Result } from '@hazellift/common'
import { Pool } from 'undici'
import type { StoreFault } from './errors.js'
import type { StoreObserver } from './types.js'

/** What the HTTP adapters need. */
export interface HttpStoreOptions {
  /** Base URL of the platform. */
  url: string
  /** Longest wait for a call, in ms. */
  timeoutMs: number
  connections?: number
  observe?: StoreObserver
}

/** One HTTP request to the platform. */
export interface HttpCall {
  name: string
  method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  path: string
  body?: string | Uint8Array
  /** Longest wait for this call, in ms; unset for the caller's. */
  timeoutMs?: number
  /** Statuses from 400 on that are answers of this call, not faults. */
  acceptedStatuses?: readonly number[]
}

/** Status and body of a response that the platform gave on purpose. */
export interface HttpReply {
  status: number
  body: Uint8Array
}

const DEFAULT_CONNECTIONS = 16
/** Errors raised before a byte of the request was sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH'])
const REFUSED_STATUSES = new Set([429, 503])

const classifyError = (err: unknown): StoreFault => {
  const isNotSent = NOT_SENT_CODES.has(errorCode(err) ?? '')
  return { type: isNotSent ? 'refused' : 'unknown', message: errorMessage(err) }
}

const classifyReply = (reply: HttpReply, acceptedStatuses: readonly number[]): Result<HttpReply, StoreFault> => {
  if (reply.status < 400 || reply.status === 404 || acceptedStatuses.includes(reply.status)) return ok(reply)
  const message = `status ${reply.status}: ${Buffer.from(reply.body).toString()}`
  if (REFUSED_STATUSES.has(reply.status)) return fail({ type: 'refused', message })
  return fail({ type: reply.status < 500 ? 'invalid' : 'unknown', message })
}

/** Sends requests to the platform, each within the time limit. */
export type HttpCaller = (call: HttpCall) => Promise<Result<HttpReply, StoreFault>>

/**
 * A caller over a pool of connections.
 *
 * @param options - where, how long, and who is told
 */
export const createHttpCaller = (options: HttpStoreOptions): HttpCaller => {
  const pool = new Pool(options.url, {
    connections: options.connections ?? DEFAULT_CONNECTIONS,
    connect: { timeout: options.timeoutMs }
  })
  const send = async ({ method, path, body, timeoutMs, acceptedStatuses: answers }: HttpCall): Promise<Result<HttpReply, StoreFault>> => {
    try {
      const res = await pool.request({
        method,
        path,
        body: body ?? null,
        headers: typeof body === 'string' ? { 'content-type': 'application/json' } : {},
        signal: AbortSignal.timeout(timeoutMs ?? options.timeoutMs)
      })
      return classifyReply({ status: res.statusCode, body: await res.body.bytes() }, answers ?? [])
    } catch (err) {
      return fail(classifyError(err))
    }
  }
  return async (call) => {
    const startedAt = performance.now()
    const result = await send(call)
    options.observe?.(call.name, result.ok ? 'ok' : result.err.type, performance.now() - startedAt)
    return result
  }
}
