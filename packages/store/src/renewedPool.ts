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
  /** Each ends one attempt that is sent again when the connections are replaced. */
  repeatable: Set<AbortController>
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
   * wait on, as they may have been carried out. It is sent again only once: if the peer
   * is slow, calls time out again and again, and no read would ever be answered.
   *
   * @param req - the request
   * @param timeoutMs - time limit of each attempt, in ms
   * @returns the response; rejects if there is none in time
   */
  async request (req: PooledRequest, timeoutMs: number): Promise<PooledResponse> {
    if (req.method !== 'GET') return this.send(req, timeoutMs)
    const replaced = new AbortController()
    const { repeatable } = this.current
    repeatable.add(replaced)
    try {
      return await this.send(req, timeoutMs, replaced.signal)
    } catch (err) {
      if (err !== replaced.signal.reason) throw err
    } finally {
      repeatable.delete(replaced)
    }
    return this.send(req, timeoutMs)
  }

  private async send (req: PooledRequest, timeoutMs: number, replaced?: AbortSignal): Promise<PooledResponse> {
    const timeout = AbortSignal.timeout(timeoutMs)
    const generation = this.current
    try {
      // Both end with the attempt: Node.js 20 keeps a reference for each signal that depends on one that lives on.
      const signal = replaced === undefined ? timeout : AbortSignal.any([timeout, replaced])
      const res = await generation.pool.request({ ...req, signal })
      return { status: res.statusCode, body: await res.body.bytes() }
    } catch (err) {
      if (timeout.aborted) this.replace(generation)
      throw err
    }
  }

  private open (): Generation {
    return { pool: new Pool(this.url, this.options), repeatable: new Set() }
  }

  private replace (generation: Generation): void {
    if (generation !== this.current) return
    this.current = this.open()
    for (const replaced of generation.repeatable) replaced.abort()
    // Resolves once the calls that wait on have ended.
    void generation.pool.close()
  }
}
