import { SuspensionWatch } from '@hazellift/common'
import { describe, expect, it } from 'vitest'
import { EntryLeases } from '../../src/leased/entryLeases.js'
import { createFakeClock } from '../fakeClock.js'
import { ProcessClock } from '../processClock.js'
import type { BootClock } from '../processClock.js'

const AUTHORITY_MS = 600
const DOUBT_MS = 250
const ENTRY = 'e'

const STATES = { has: 'has', doubtful: 'doubtful', over: 'over' } as const
type State = typeof STATES[keyof typeof STATES]

/** An agent's authorities with one entry, on clocks that can be moved apart. */
class Fixture {
  isOpen = true
  lapses = 0
  asked = 0
  readonly process: ProcessClock
  private readonly world = createFakeClock()
  private readonly authorities: EntryLeases

  constructor (boot: BootClock) {
    this.process = new ProcessClock(this.world, boot)
    this.authorities = new EntryLeases({
      clock: this.process,
      watch: new SuspensionWatch(this.process),
      entryLeaseMs: AUTHORITY_MS,
      verificationMs: DOUBT_MS,
      isOpen: () => this.isOpen,
      onUnverified: () => { this.asked++ },
      onExpired: () => { this.lapses++ }
    })
    this.pass(1000)
    this.echo()
  }

  get now (): number {
    return this.process.now()
  }

  get state (): State {
    this.authorities.check()
    if (this.authorities.isValid(ENTRY)) return STATES.has
    return this.authorities.isUnverified(ENTRY) ? STATES.doubtful : STATES.over
  }

  pass (ms: number): void {
    this.world.advance(ms)
  }

  suspend (ms: number): void {
    this.process.suspend(ms)
    this.pass(ms)
  }

  /** The entry echoes a stamp. */
  echo (stampMs = this.now): void {
    this.authorities.renew(ENTRY, stampMs)
  }

  session (isOpen: boolean): void {
    this.isOpen = isOpen
    this.authorities.onSessionChange(ENTRY)
  }
}

describe('authority after the clocks have moved apart', () => {
  const cases: Array<{ name: string, boot?: BootClock, act: (fixture: Fixture) => void, state: State }> = [
    { name: 'nothing happened', act: () => {}, state: STATES.has },
    { name: 'a suspension', act: (fixture) => fixture.suspend(300), state: STATES.doubtful },
    { name: 'a suspension that is certain', boot: 'true', act: (fixture) => fixture.suspend(300), state: STATES.over },
    { name: 'a step ahead', boot: 'true', act: ({ process }) => process.stepWallClock(60_000), state: STATES.doubtful },
    { name: 'a step back', act: ({ process }) => process.stepWallClock(-60_000), state: STATES.has },
    {
      name: 'a suspension without a session',
      act: (fixture) => {
        fixture.isOpen = false
        fixture.suspend(300)
      },
      state: STATES.over
    },
    {
      name: 'a suspension, and the session ends',
      act: (fixture) => {
        fixture.suspend(300)
        fixture.session(false)
      },
      state: STATES.over
    },
    {
      name: 'a suspension, and another session begins',
      act: (fixture) => {
        fixture.suspend(300)
        fixture.session(true)
      },
      state: STATES.over
    },
    {
      name: 'an echo of a stamp from before',
      act: (fixture) => {
        fixture.pass(50)
        const stamp = fixture.now
        fixture.suspend(300)
        fixture.echo(stamp)
      },
      state: STATES.doubtful
    },
    {
      name: 'an echo of a later stamp',
      act: (fixture) => {
        fixture.suspend(300)
        fixture.echo()
        fixture.pass(10)
        fixture.echo()
      },
      state: STATES.has
    },
    {
      name: 'a later stamp, and another suspension before its echo',
      act: (fixture) => {
        fixture.suspend(300)
        expect(fixture.state).toBe(STATES.doubtful)
        fixture.pass(10)
        const stamp = fixture.now
        fixture.suspend(300)
        fixture.echo(stamp)
      },
      state: STATES.doubtful
    },
    {
      name: 'no echo for too long',
      act: (fixture) => {
        fixture.suspend(300)
        expect(fixture.state).toBe(STATES.doubtful)
        fixture.pass(DOUBT_MS + 5)
      },
      state: STATES.over
    },
    {
      name: 'suspensions that follow one another, for too long',
      act: (fixture) => {
        for (let times = 0; times < 5; times++) {
          fixture.suspend(30)
          expect(fixture.state).toBe(STATES.doubtful)
          fixture.pass(49)
        }
        fixture.suspend(30)
        fixture.pass(20)
      },
      state: STATES.over
    },
    {
      name: 'a late echo, after the doubt',
      act: (fixture) => {
        fixture.suspend(300)
        expect(fixture.state).toBe(STATES.doubtful)
        fixture.pass(DOUBT_MS + 5)
        const { lapses } = fixture
        fixture.echo()
        expect(fixture.lapses).toBeGreaterThan(lapses)
      },
      state: STATES.has
    },
    {
      name: 'authority that ends within the doubt',
      act: (fixture) => {
        fixture.pass(AUTHORITY_MS - 50)
        fixture.suspend(300)
        expect(fixture.state).toBe(STATES.doubtful)
        fixture.pass(60)
      },
      state: STATES.over
    },
    {
      name: 'steps ahead and back, again and again, each echoed',
      act: (fixture) => {
        for (const ms of [5000, -5000, 5000, -5000]) {
          fixture.process.stepWallClock(ms)
          expect(fixture.state).toBe(ms > 0 ? STATES.doubtful : STATES.has)
          fixture.pass(10)
          fixture.echo()
          expect(fixture.state).toBe(STATES.has)
        }
      },
      state: STATES.has
    }
  ]
  it.each(cases)('$name', ({ boot = 'none', act, state }) => {
    const fixture = new Fixture(boot)
    act(fixture)
    expect(fixture.state).toBe(state)
  })

  it('a doubt asks for echoes, and whatever has ended is stopped', () => {
    const fixture = new Fixture('none')
    fixture.suspend(300)
    expect(fixture.state).toBe(STATES.doubtful)
    expect(fixture.asked).toBe(1)
    const { lapses } = fixture
    fixture.pass(DOUBT_MS + 5)
    expect(fixture.lapses).toBe(lapses + 1)
  })

  it('an entry that was not known before gets no authority by a stamp from before', () => {
    const world = createFakeClock()
    const process = new ProcessClock(world)
    const authorities = new EntryLeases({
      clock: process, watch: new SuspensionWatch(process), entryLeaseMs: AUTHORITY_MS, verificationMs: DOUBT_MS, isOpen: () => true, onUnverified: () => {}, onExpired: () => {}
    })
    world.advance(1000)
    process.suspend(5000)
    world.advance(5000)
    authorities.renew('new', 900)
    expect(authorities.isValid('new')).toBe(false)
  })
})
