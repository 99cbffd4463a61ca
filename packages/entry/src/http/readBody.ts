import type { IncomingMessage } from 'node:http'
import { fail, ok } from '@hazellift/common'
import type { Result } from '@hazellift/common'

/** A body that was not read to its end. */
export type BodyFault = 'too_large' | 'cut_off'

/**
 * Reads a request's body up to a bound.
 *
 * @param req - the request
 * @param maxBytes - the bound
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
