import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { RenewedPool } from './renewedPool.js'

const CALLS = 3
const NEVER = '/never'
const SLOW = '/slow'
const SLOW_MS = 300
/** Shorter than a slow answer takes. */
const LOSS_INTERVAL_MS = 100
const TIMEOUT_MS = 2000

describe('a pool whose connections are replaced once a call has no answer', () => {
  let server: Server
  let pool: RenewedPool

  beforeEach(async () => {
    server = createServer(({ url }, res) => {
      if (url !== NEVER) setTimeout(() => res.end(), url === SLOW ? SLOW_MS : 0)
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    pool = new RenewedPool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, { connections: CALLS })
  })
  afterEach(() => {
    vi.restoreAllMocks()
    server.closeAllConnections()
    server.close()
  })

  // Each call of a process left a reference on a signal that lived as long as the connections.
  it('keeps nothing of a call that has ended: no signal is shared by two calls', async () => {
    const any = vi.spyOn(AbortSignal, 'any')
    for (let call = 0; call < CALLS; call++) await pool.request({ method: 'GET', path: '/' }, 1000)
    const sources = any.mock.calls.flatMap(([signals]) => [...signals])
    expect(sources.length).toBeGreaterThanOrEqual(CALLS)
    expect(new Set(sources).size).toBe(sources.length)
  })

  // Each of the losses sent all waiting reads again, so that none was answered while a store was slow.
  it('answers a read that takes longer than the time between two losses', async () => {
    const losses = setInterval(() => { pool.request({ method: 'GET', path: NEVER }, LOSS_INTERVAL_MS).catch(() => {}) }, LOSS_INTERVAL_MS)
    try {
      const read = pool.request({ method: 'GET', path: SLOW }, TIMEOUT_MS)
      const answer = await Promise.race([read, sleep(TIMEOUT_MS)])
      expect(answer).toMatchObject({ status: 200 })
    } finally {
      clearInterval(losses)
    }
  })
})
