import { Pool } from 'undici'
import type { Dispatcher } from 'undici'

/** Status and whole body of a response. */
export interface PooledResponse {
  status: number
  body: Uint8Array
}

type PooledRequest = Pick<Dispatcher.RequestOptions, 'path' | 'body' | 'headers'> & { method: 'GET' | 'POST' | 'PUT' | 'DELETE' }

/** Connections that were opened since the last renewal. */
interface Generation {
  pool: Pool
  /** Aborts once the connections are replaced. */
  replaced: AbortController
}

/**
 * A connection pool that replaces all of its connections once a call on one of them has
 * no answer in time. Connections to one peer tend to go silent together; if only the
 * one that timed out were closed, the next calls would time out on the others.
 */
export class RenewedPool {
  private current: Generation

  /**
   * @param url - base URL of the peer
   * @param options - of each pool
   */
  constructor (private readonly url: string, private readonly options: Pool.Options) {
    this.current = this.open()
  }

  /**
   * Sends a request. A GET that waits for its answer when the connections are replaced
   * is sent again on a new one, with a new time limit, as it changes nothing; others
   * wait on, as they may have been carried out.
   *
   * @param req - the request
   * @param timeoutMs - time limit of each attempt, in ms
   * @returns the response; rejects if there is none in time
   */
  async request (req: PooledRequest, timeoutMs: number): Promise<PooledResponse> {
    while (true) {
      const timeout = AbortSignal.timeout(timeoutMs)
      const generation = this.current
      const replaced = req.method === 'GET' ? [generation.replaced.signal] : []
      try {
        const res = await generation.pool.request({ ...req, signal: AbortSignal.any([timeout, ...replaced]) })
        return { status: res.statusCode, body: await res.body.bytes() }
      } catch (err) {
        if (timeout.aborted) this.replace(generation)
        else if (replaced.some(({ aborted }) => aborted)) continue
        throw err
      }
    }
  }

  private open (): Generation {
    return { pool: new Pool(this.url, this.options), replaced: new AbortController() }
  }

  private replace (generation: Generation): void {
    if (generation !== this.current) return
    this.current = this.open()
    generation.replaced.abort()
    // Resolves once the calls that wait on have ended.
    void generation.pool.close()
  }
}
