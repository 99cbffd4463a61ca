import { fromJsonString, toJsonString } from '@bufbuild/protobuf'
import type { DescMessage, MessageShape } from '@bufbuild/protobuf'
import { errorMessage, fail, ok } from '@hazellift/common'
import type { Result } from '@hazellift/common'
import { ErrorBodySchema } from '@hazellift/protocol'
import type { ErrorBody } from '@hazellift/protocol'
import { request } from 'undici'

/** Why a call of the API gave no message. */
export type ApiFault =
  | { type: 'unreachable', message: string }
  | { type: 'error', status: number, body: ErrorBody }

/** An answer with its status, as 200 and 202 carry different messages. */
export interface ApiResponse {
  status: number
  text: string
}

/** One call. */
export interface ApiCall {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  path: string
  body?: string
  /** Longest wait for the answer, in ms. */
  timeoutMs?: number
}

/** Where and as whom calls are made. */
export interface ApiClientOptions {
  url: string
  token: string
}

const DEFAULT_TIMEOUT_MS = 15_000

const parseError = (status: number, text: string): ApiFault => {
  try {
    return { type: 'error', status, body: fromJsonString(ErrorBodySchema, text, { ignoreUnknownFields: true }) }
  } catch {
    return { type: 'unreachable', message: `status ${status} without an error of the API: ${text.slice(0, 200)}` }
  }
}

/**
 * Calls an entry's API.
 *
 * @param options - URL of an entry or of the balancer, and a token
 */
export const createApiClient = ({ url, token }: ApiClientOptions) => {
  const send = async ({ method, path, body, timeoutMs = DEFAULT_TIMEOUT_MS }: ApiCall): Promise<Result<ApiResponse, ApiFault>> => {
    try {
      const res = await request(new URL(path, url), {
        method,
        body: body ?? null,
        headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs
      })
      const text = await res.body.text()
      return res.statusCode < 400 ? ok({ status: res.statusCode, text }) : fail(parseError(res.statusCode, text))
    } catch (err) {
      return fail({ type: 'unreachable', message: errorMessage(err) })
    }
  }

  const call = async <Desc extends DescMessage>(schema: Desc, options: ApiCall): Promise<Result<MessageShape<Desc>, ApiFault>> => {
    const res = await send(options)
    return res.ok ? ok(fromJsonString(schema, res.value.text)) : res
  }

  return { send, call }
}

/** Calls an entry's API. */
export type ApiClient = ReturnType<typeof createApiClient>

/** A message as the body of a call. */
export const encodeBody = <Desc extends DescMessage>(schema: Desc, message: MessageShape<Desc>): string => toJsonString(schema, message)
