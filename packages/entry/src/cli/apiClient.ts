import { fromJsonString, toJsonString } from '@bufbuild/protobuf'
import type { DescMessage, MessageShape } from '@bufbuild/protobuf'
import { errorMessage, fail, ok } from '@hazellift/common'
import type { Result } from '@hazellift/common'
import { ErrorBodySchema } from '@hazellift/protocol'
import type { ErrorBody } from '@hazellift/protocol'
import { request } from 'undici'

/** Why an API call failed: no response of the API, or an error in its own format. */
export type ApiFault =
  | { type: 'unreachable', message: string }
  | { type: 'error', status: number, body: ErrorBody }

/** A successful response with its status, because 200 and 202 have different messages as body. */
export interface ApiResponse {
  status: number
  text: string
}

/** A call of the API. */
export interface ApiCall {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  path: string
  body?: string
  /** Timeout for the headers, and for each part of the body, in ms. */
  timeoutMs?: number
}

/** URL and token that calls are made with. */
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
 * Creates a client of an entry's HTTP API.
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

/** Client of an entry's HTTP API: `send` returns the response's text, `call` the parsed message. */
export type ApiClient = ReturnType<typeof createApiClient>

/** Encodes a message as the body of a call. */
export const encodeBody = <Desc extends DescMessage>(schema: Desc, message: MessageShape<Desc>): string => toJsonString(schema, message)
