import { getEventListeners } from 'node:events'
import { describe, expect, it } from 'vitest'
import type { DialHandle } from './entryDialer.js'
import { keepSession } from './keepSession.js'

const flushTasks = (): Promise<void> => new Promise((resolve) => setImmediate(resolve))

/** Sessions that a test steers, in the order in which they were dialled. */
class Fixture {
  readonly log: string[] = []
  readonly sessions: Array<{ handle: DialHandle, isSilent: boolean, end: () => void }> = []
  readonly stop = new AbortController()
  hasEnded = false

  constructor () {
    const kept = keepSession((handle) => this.dial(handle), {
      signal: this.stop.signal,
      retired: new AbortController().signal,
      onEntries: () => {},
      onOpen: () => { this.log.push('open') },
      onClosed: () => { this.log.push('closed') },
      onReplaced: () => { this.log.push('replaced') }
    })
    void kept.then(() => { this.hasEnded = true })
  }

  /** The entry's welcome arrives on a session. */
  welcome (index: number): void {
    const { handle, end } = this.sessions[index]!
    if (handle.isNeeded()) handle.onOpen()
    else end()
  }

  suspect (index: number): void {
    const session = this.sessions[index]!
    session.isSilent = true
    session.handle.onSuspected(() => session.isSilent)
  }

  private dial (handle: DialHandle): Promise<void> {
    const index = this.sessions.length
    return new Promise((resolve) => {
      let hasEnded = false
      const end = (): void => {
        if (hasEnded) return
        hasEnded = true
        this.log.push(`end ${index}`)
        resolve()
      }
      this.sessions.push({ handle, isSilent: false, end })
      handle.signal.addEventListener('abort', end)
    })
  }
}

interface Case {
  name: string
  steps: Array<(fixture: Fixture) => void>
  log: string[]
  sessions: number
  hasEnded: boolean
}

const OPEN_AND_SUSPECT = [(fixture: Fixture) => fixture.welcome(0), (fixture: Fixture) => fixture.suspect(0)]

describe('the session with an entry while its connection is suspected to be silent', () => {
  const cases: Case[] = [
    {
      name: 'is replaced once another connection works',
      steps: [...OPEN_AND_SUSPECT, (fixture) => fixture.welcome(1)],
      log: ['open', 'open', 'end 0', 'replaced', 'closed'],
      sessions: 2,
      hasEnded: false
    },
    {
      name: 'is kept if it shows life before another connection works',
      steps: [...OPEN_AND_SUSPECT, ({ sessions }) => { sessions[0]!.isSilent = false }, (fixture) => fixture.welcome(1)],
      log: ['open', 'end 1'],
      sessions: 2,
      hasEnded: false
    },
    {
      name: 'may time out while the other connection is still being opened',
      steps: [...OPEN_AND_SUSPECT, ({ sessions }) => sessions[0]!.end(), (fixture) => fixture.welcome(1)],
      log: ['open', 'end 0', 'closed', 'open', 'replaced'],
      sessions: 2,
      hasEnded: false
    },
    {
      name: 'is replaced by one connection at a time',
      steps: [...OPEN_AND_SUSPECT, (fixture) => fixture.suspect(0), ({ sessions }) => sessions[1]!.end(), (fixture) => fixture.suspect(0)],
      log: ['open', 'end 1'],
      sessions: 3,
      hasEnded: false
    },
    {
      name: 'ends with all that replaced it',
      steps: [...OPEN_AND_SUSPECT, (fixture) => fixture.welcome(1), (fixture) => fixture.suspect(1), ({ stop }) => stop.abort()],
      log: ['open', 'open', 'end 0', 'replaced', 'closed', 'end 1', 'end 2', 'closed'],
      sessions: 3,
      hasEnded: true
    }
  ]
  it.each(cases)('$name', async ({ steps, log, sessions, hasEnded }) => {
    const fixture = new Fixture()
    for (const step of steps) {
      step(fixture)
      await flushTasks()
    }
    expect({ log: fixture.log, sessions: fixture.sessions.length, hasEnded: fixture.hasEnded }).toEqual({ log, sessions, hasEnded })
  })

  it('leaves nothing behind on the signal of its entry', async () => {
    const fixture = new Fixture()
    fixture.welcome(0)
    for (let index = 0; index < 3; index++) {
      fixture.suspect(index)
      fixture.welcome(index + 1)
      await flushTasks()
    }
    expect(fixture.sessions.length).toBe(4)
    expect(getEventListeners(fixture.stop.signal, 'abort').length).toBe(1)
  })
})
