import { create } from '@bufbuild/protobuf'
import type { HandlerContext } from '@connectrpc/connect'
import { systemClock } from '@hazellift/common'
import type { AgentLink, SessionDispatcher } from '@hazellift/coordination'
import { AgentFrameSchema, HelloSchema } from '@hazellift/protocol'
import type { AgentFrame, EntryFrame, Hello } from '@hazellift/protocol'
import { describe, expect, it, vi } from 'vitest'
import { createSessions } from './createSessions.js'
import type { KeepAliveTimes } from './types.js'

const TIMES = { keepAliveMs: 1000, timeoutMs: 3000 }
/** Fails only a test that would wait for good. */
const WAIT = { timeout: 20_000 }
const ECHO_STAMP_MS = 7

/** An agent that introduces itself and then sends nothing. */
async function * introduce (): AsyncGenerator<AgentFrame> {
  yield create(AgentFrameSchema, { hello: create(HelloSchema, { agentId: 'a', incarnation: 'a-1', zone: 'z' }) })
  await new Promise(() => {})
}

/** Opens the session of such an agent; `frames` are those that the entry sends. */
const openSession = (dispatcher: SessionDispatcher<Hello>, times: KeepAliveTimes = TIMES) => {
  const { service, closeAll } = createSessions({
    dispatcher,
    observe: { read: () => {}, sent: () => {} },
    entryId: 'e',
    incarnation: 'e-1',
    keepAlive: { busy: times, idle: times },
    entries: () => []
  })
  const context = { signal: new AbortController().signal } as HandlerContext
  const frames = (service.open(introduce(), context) as AsyncIterable<EntryFrame>)[Symbol.asyncIterator]()
  const end = async (): Promise<void> => {
    closeAll()
    await frames.return?.()
  }
  return { frames, end }
}

describe('frames that an entry sends on a session', () => {
  const cases = [
    { name: 'carry the state of the agent while the session is open', isClosed: false, echoStampMs: ECHO_STAMP_MS },
    { name: 'carry none once it was closed, as that belongs to the next session', isClosed: true, echoStampMs: 0 }
  ]
  it.each(cases)('$name', async ({ isClosed, echoStampMs }) => {
    const links: AgentLink[] = []
    const dispatcher: SessionDispatcher<Hello> = {
      isOutdated: () => false,
      open: (hello, link) => {
        links.push(link)
        return hello
      },
      closed: () => {},
      onFrame: () => {},
      fillFrame: (_agent, frame) => { frame.echoStampMs = ECHO_STAMP_MS }
    }
    const { frames, end } = openSession(dispatcher)
    await frames.next()
    links[0]!.add(() => {})
    if (isClosed) links[0]!.close()
    const { value } = await frames.next()
    expect((value as EntryFrame).echoStampMs).toBe(echoStampMs)
    await end()
  })
})

describe('the hello of an agent that has replaced the session meanwhile', () => {
  const cases = [
    { name: 'opens no session, as a lossy link delayed it', isOutdated: true, opened: 0 },
    { name: 'opens one otherwise', isOutdated: false, opened: 1 }
  ]
  it.each(cases)('$name', async ({ isOutdated, opened }) => {
    let count = 0
    const { frames, end } = openSession({
      isOutdated: () => isOutdated,
      open: (hello) => {
        count++
        return hello
      },
      closed: () => {},
      onFrame: () => {}
    })
    await frames.next()
    expect(count).toBe(opened)
    await end()
  })
})

describe('the time at which a session began', () => {
  it('is before its welcome was sent', async () => {
    let welcomedAt: number | undefined
    const { frames, end } = openSession({
      isOutdated: (_hello, _stampMs, at) => {
        welcomedAt = at
        return false
      },
      open: (hello) => hello,
      closed: () => {},
      onFrame: () => {}
    })
    const before = systemClock.now()
    await frames.next()
    const after = systemClock.now()
    expect(welcomedAt).toBeGreaterThanOrEqual(before)
    expect(welcomedAt).toBeLessThanOrEqual(after)
    await end()
  })
})

describe('a session that times out', () => {
  const cases = [
    { name: 'has ended for the dispatcher', isBlocked: false },
    { name: 'has ended for the dispatcher, also while its connection takes no more frames', isBlocked: true }
  ]
  // Otherwise starts are sent to an agent that is gone, and it never counts as lost.
  it.each(cases)('$name', async ({ isBlocked }) => {
    const closed: AgentLink[] = []
    const links: AgentLink[] = []
    const { frames, end } = openSession({
      isOutdated: () => false,
      open: (hello, link) => {
        links.push(link)
        return hello
      },
      closed: (_agent, link) => { closed.push(link) },
      onFrame: () => {}
    }, { keepAliveMs: 1000, timeoutMs: 50 })
    await frames.next()
    // A transport asks for the next frame once the connection has taken the last one.
    const next = isBlocked ? undefined : frames.next()
    await vi.waitFor(() => expect(closed).toEqual(links), WAIT)
    await next
    await end()
    expect(closed).toEqual(links)
  })
})

describe('a hello that is read after its session was closed', () => {
  // The entry would take the agent for connected, and send starts that nobody receives.
  it('opens no session', async () => {
    const aborting = new AbortController()
    let sendHello = (): void => {}
    const helloSent = new Promise<void>((resolve) => { sendHello = resolve })
    async function * introduceLate (): AsyncGenerator<AgentFrame> {
      await helloSent
      yield * introduce()
    }
    const opened: string[] = []
    const { service } = createSessions({
      dispatcher: {
        isOutdated: () => false,
        open: (hello) => {
          opened.push(hello.agentId)
          return hello
        },
        closed: () => {},
        onFrame: () => {}
      },
      observe: { read: () => {}, sent: () => {} },
      entryId: 'e',
      incarnation: 'e-1',
      keepAlive: { busy: TIMES, idle: TIMES },
      entries: () => []
    })
    const frames = (service.open(introduceLate(), { signal: aborting.signal } as HandlerContext) as AsyncIterable<EntryFrame>)[Symbol.asyncIterator]()
    await frames.next()
    aborting.abort()
    expect((await frames.next()).done).toBe(true)
    sendHello()
    await new Promise((resolve) => setImmediate(resolve))
    expect(opened).toEqual([])
  })
})
