import { once } from 'node:events'
import { createServer } from 'node:http2'
import type { Http2Server } from 'node:http2'
import type { AddressInfo } from 'node:net'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { PeerService } from '@hazellift/protocol'
import { startRelay } from '@hazellift/standins'
import type { Relay } from '@hazellift/standins'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { PeerClients } from '../../packages/entry/src/peers/peerClients.js'

const OWN_VERSION = 3n

describe('the connection to another entry that goes silent', () => {
  let server: Http2Server
  let relay: Relay
  let peers: PeerClients

  beforeEach(async () => {
    server = createServer(connectNodeAdapter({
      routes: (router) => { router.service(PeerService, { configChanged: () => ({ version: OWN_VERSION }) }) }
    }))
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    relay = await startRelay(`127.0.0.1:${(server.address() as AddressInfo).port}`)
    peers = new PeerClients('')
    expect(await peers.configChanged(relay.address, 1n)).toBe(OWN_VERSION)
    relay.silence()
  })
  afterEach(() => {
    relay.close()
    server.close()
  })

  it('costs one call: the next one is answered', async () => {
    expect(await peers.configChanged(relay.address, 1n)).toBeUndefined()
    expect(await peers.configChanged(relay.address, 1n)).toBe(OWN_VERSION)
  })

  it('is closed once no call waits on it', async () => {
    const connections = relay.connections()
    expect(await peers.configChanged(relay.address, 1n)).toBeUndefined()
    // The relay's own connection to the peer stays open, as the end of a silent one does not arrive.
    while (relay.connections() !== connections - 1) await new Promise(setImmediate)
  })
})
