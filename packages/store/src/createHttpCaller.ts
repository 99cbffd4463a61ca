import { errorCode, errorMessage, fail, ok } from '@hazellift/common'
import type { Result } from '@hazellift/common'
import type { StoreFault } from './errors.js'
import { RenewedPool } from './renewedPool.js'
import type { StoreObserver } from './types.js'

/** Options of the HTTP clients. */
export interface HttpStoreOptions {
  /** Base URL of the platform. */
  url: string
  /** Time limit of a call, in ms. */
  timeoutMs: number
  /** Size of the connection pool. */
  connections?: number
  observe?: StoreObserver
}

/** One HTTP request to the platform. */
export interface HttpCall {
  /** Name of the call, reported to the observer. */
  name: string
  method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  path: string
  body?: string | Uint8Array
  /** Time limit of this call, in ms; defaults to the one in `HttpStoreOptions`. */
  timeoutMs?: number
  /** Statuses of 400 and above that are answers rather than faults; 404 always is one. */
  acceptedStatuses?: readonly number[]
}

/** Status and body of a response that is not a fault. */
export interface HttpReply {
  status: number
  body: Uint8Array
}

const DEFAULT_CONNECTIONS = 16
/** Errors that occur before any byte of the request is sent. */
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

/** Sends a request to the platform, within the time limit. */
export type HttpCaller = (call: HttpCall) => Promise<Result<HttpReply, StoreFault>>

/**
 * Creates a caller with its own connection pool.
 *
 * @param options - base URL, time limit, pool size and observer
 */
export const createHttpCaller = (options: HttpStoreOptions): HttpCaller => {
  const pool = new RenewedPool(options.url, {
    connections: options.connections ?? DEFAULT_CONNECTIONS,
    connect: { timeout: options.timeoutMs }
  })
  const send = async ({ method, path, body, timeoutMs, acceptedStatuses }: HttpCall): Promise<Result<HttpReply, StoreFault>> => {
    try {
      const headers: Record<string, string> = typeof body === 'string' ? { 'content-type': 'application/json' } : {}
      const reply = await pool.request({ method, path, body: body ?? null, headers }, timeoutMs ?? options.timeoutMs)
      return classifyReply(reply, acceptedStatuses ?? [])
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
