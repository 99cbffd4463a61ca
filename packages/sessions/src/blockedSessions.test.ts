import { once } from 'node:events'
import { createServer } from 'node:http2'
import type { AddressInfo } from 'node:net'
import { create } from '@bufbuild/protobuf'
import { createClient } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import type { AgentLink } from '@hazellift/coordination'
import { AgentFrameSchema, HelloSchema, SessionService, StartSchema } from '@hazellift/protocol'
import type { AgentFrame } from '@hazellift/protocol'
import { expect, it, vi } from 'vitest'
import { createSessions } from './createSessions.js'
import { openConnection } from './openConnection.js'

const TIMES = { keepAliveMs: 20, timeoutMs: 100 }
/** Fails only a test that would wait for good. */
const WAIT = { timeout: 20_000 }
/** More than an agent's connection takes that reads nothing. */
const PAYLOAD_CHARS = 16_000_000

/** An agent that introduces itself and then sends nothing. */
async function * introduce (): AsyncGenerator<AgentFrame> {
  yield create(AgentFrameSchema, { hello: create(HelloSchema, { agentId: 'a', incarnation: 'a-1', zone: 'z' }) })
  await new Promise(() => {})
}

// Otherwise starts are sent to an agent that is frozen or gone, and it never counts as lost.
it('a session ends for its dispatcher once it has timed out, though its connection takes no more frames', async () => {
  const links: AgentLink[] = []
  const closed: AgentLink[] = []
  const { service } = createSessions({
    dispatcher: {
      isOutdated: () => false,
      open: (hello, link) => {
        links.push(link)
        return hello
      },
      closed: (_agent, link) => { closed.push(link) },
      onFrame: () => {}
    },
    observe: { read: () => {}, sent: () => {} },
    entryId: 'e',
    incarnation: 'e-1',
    keepAlive: { busy: TIMES, idle: TIMES },
    entries: () => []
  })
  const server = createServer(connectNodeAdapter({ routes: (router) => { router.service(SessionService, service) } }))
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const connection = openConnection(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  const frames = createClient(SessionService, connection.transport).open(introduce())[Symbol.asyncIterator]()
  try {
    await frames.next()
    await vi.waitFor(() => expect(links).toHaveLength(1))
    links[0]!.add((frame) => { frame.starts.push(create(StartSchema, { payload: 'p'.repeat(PAYLOAD_CHARS) })) })
    await vi.waitFor(() => expect(closed).toEqual(links), WAIT)
  } finally {
    connection.close()
    server.close()
  }
})
