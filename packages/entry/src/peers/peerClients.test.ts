import { once } from 'node:events'
import { createServer } from 'node:http2'
import type { Http2Server } from 'node:http2'
import type { AddressInfo } from 'node:net'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { PEER_ANSWERS, PeerService } from '@hazellift/protocol'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { PeerClients } from './peerClients.js'

const QUERY = { workspace: 'w', submission: 'j', nonce: '' }

// Guards against a question that is never sent, so that its owner counts as unreachable: a
// remaining wait is a difference of readings of the steady clock, and these have fractions.
describe('a question to another entry', () => {
  let server: Http2Server
  let address: string
  let receivedWaitMs: number[]

  beforeEach(async () => {
    receivedWaitMs = []
    server = createServer(connectNodeAdapter({
      routes: (router) => {
        router.service(PeerService, {
          await: ({ waitMs }) => {
            receivedWaitMs.push(waitMs)
            return { kind: PEER_ANSWERS.pending }
          },
          cancel: () => ({ kind: PEER_ANSWERS.final })
        })
      }
    }))
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  })
  afterEach(() => { server.close() })

  const waits = [
    { waitMs: 0, sentMs: 0 },
    { waitMs: 200, sentMs: 200 },
    { waitMs: 199.96917700000085, sentMs: 200 },
    { waitMs: 6.3674660000033, sentMs: 7 },
    { waitMs: -0.5, sentMs: 0 }
  ]
  it.each(waits)('about a job is answered, with a wait of $waitMs ms', async ({ waitMs, sentMs }) => {
    expect(await new PeerClients('').await(address, { ...QUERY, waitMs })).toMatchObject({ ok: true, value: { kind: PEER_ANSWERS.pending } })
    expect(receivedWaitMs).toEqual([sentMs])
  })

  it.each(waits)('to cancel a job is answered, with a wait of $waitMs ms', async ({ waitMs }) => {
    expect(await new PeerClients('').cancel(address, { ...QUERY, waitMs })).toMatchObject({ ok: true, value: { kind: PEER_ANSWERS.final } })
  })
})
