import { errorCode, errorMessage } from '@hazellift/common'
import { taskKey } from '@hazellift/coordination'
import type { AttemptEnd, RunAttempt } from '@hazellift/coordination'
import { REASONS, TASK_HEADERS, TASK_OUTCOMES } from '@hazellift/protocol'
import type { Reason, Start, TaskOutcome } from '@hazellift/protocol'
import { Pool } from 'undici'

/** Errors raised before a byte of the request was sent: the task was not started. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'])
const CONNECT_TIMEOUT_MS = 1000
const MAX_ERROR_BODY_CHARS = 500
const RUN_PATH = '/run'

const attemptEnd = (outcome: TaskOutcome, reason: Reason | '', body: string): AttemptEnd => ({ outcome, reason, body })

const classifyError = (err: unknown): AttemptEnd => {
  const isNotSent = NOT_SENT_CODES.has(errorCode(err) ?? '')
  if (isNotSent) return attemptEnd(TASK_OUTCOMES.notStarted, REASONS.endpointRefused, errorMessage(err))
  return attemptEnd(TASK_OUTCOMES.failed, REASONS.endpointReset, errorMessage(err))
}

/** Reads the answer up to its bound. */
const readAnswer = async (body: AsyncIterable<Buffer>, maxBytes: number): Promise<AttemptEnd> => {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of body) {
    size += chunk.length
    if (size > maxBytes) return attemptEnd(TASK_OUTCOMES.failed, REASONS.badAnswer, `the answer is larger than ${maxBytes} bytes`)
    chunks.push(chunk)
  }
  try {
    const text = new TextDecoder('utf-8', { fatal: true }).decode(Buffer.concat(chunks))
    return attemptEnd(TASK_OUTCOMES.done, '', text)
  } catch {
    return attemptEnd(TASK_OUTCOMES.failed, REASONS.badAnswer, 'the answer is not UTF-8')
  }
}

/** Bounds of calls to the endpoint. */
export interface EndpointCallerOptions {
  connections: number
  maxAnswerBytes: number
}

/** Calls one endpoint. */
export interface EndpointCaller {
  run: RunAttempt
  close: () => void
}

/**
 * Calls an endpoint over HTTP: `POST /run` with the payload as body; status
 * 200 with the answer as body is success, any other status a failed attempt.
 * A request is never sent twice by the client itself.
 *
 * @param address - base URL of the endpoint
 * @param options - bounds of calls
 */
export const createEndpointCaller = (address: string, options: EndpointCallerOptions): EndpointCaller => {
  const pool = new Pool(address, {
    connections: options.connections,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    // The lease bounds the attempt.
    headersTimeout: 0,
    bodyTimeout: 0
  })

  const call = async (start: Start, signal: AbortSignal): Promise<AttemptEnd> => {
    const res = await pool.request({
      method: 'POST',
      path: RUN_PATH,
      body: start.payload,
      headers: {
        'content-type': 'text/plain; charset=utf-8',
        [TASK_HEADERS.idempotencyKey]: taskKey(start.key!),
        [TASK_HEADERS.leaseMs]: String(start.leaseMs)
      },
      signal
    })
    const answer = await readAnswer(res.body, options.maxAnswerBytes)
    if (res.statusCode === 200) return answer
    return attemptEnd(TASK_OUTCOMES.failed, REASONS.endpointError, `status ${res.statusCode}: ${answer.body.slice(0, MAX_ERROR_BODY_CHARS)}`)
  }

  return {
    run: async (start, _endpoint, signal) => {
      try {
        return await call(start, signal)
      } catch (err) {
        return classifyError(err)
      }
    },
    close: () => { void pool.close() }
  }
}
