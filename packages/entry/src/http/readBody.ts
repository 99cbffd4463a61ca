import type { IncomingMessage } from 'node:http'
import { fail, ok } from '@hazellift/common'
import type { Result } from '@hazellift/common'

/** Why a body was not read to its end: it exceeds the limit, or the connection broke. */
export type BodyFault = 'too_large' | 'cut_off'

/**
 * Reads the body of a request up to a limit.
 *
 * @param req - the request
 * @param maxBytes - maximum size of the body
 */
export const readBody = async (req: IncomingMessage, maxBytes: number): Promise<Result<Buffer, BodyFault>> => {
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) return fail('too_large')
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > maxBytes) return fail('too_large')
      chunks.push(chunk)
    }
  } catch {
    return fail('cut_off')
  }
  return ok(Buffer.concat(chunks))
}
