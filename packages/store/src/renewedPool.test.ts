import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { RenewedPool } from './renewedPool.js'

const CALLS = 3

describe('a pool whose connections are replaced once a call has no answer', () => {
  let server: Server
  let pool: RenewedPool

  beforeEach(async () => {
    server = createServer((_, res) => res.end())
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    pool = new RenewedPool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, { connections: 1 })
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
})
