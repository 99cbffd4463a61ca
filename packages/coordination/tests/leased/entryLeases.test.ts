import { SuspensionWatch } from '@hazellift/common'
import { describe, expect, it } from 'vitest'
import { EntryLeases } from '../../src/leased/entryLeases.js'
import { createFakeClock } from '../fakeClock.js'
import { ProcessClock } from '../processClock.js'
import type { BootClock } from '../processClock.js'

const ENTRY_LEASE_MS = 600
/** Time within which an echo must verify a lease after a suspension. */
const VERIFICATION_MS = 250
const ENTRY = 'e'

const STATES = { valid: 'valid', unverified: 'unverified', expired: 'expired' } as const
type LeaseState = typeof STATES[keyof typeof STATES]

/** An agent's lease from one entry, on a process whose clocks can be made to differ. */
class LeaseFixture {
  isOpen = true
  /** How often the agent was notified that runs without a lease must stop. */
  expiries = 0
  /** How often the agent was notified that echoes must be requested. */
  echoRequests = 0
  readonly process: ProcessClock
  private readonly referenceClock = createFakeClock()
  private readonly leases: EntryLeases

  constructor (bootClock: BootClock) {
    this.process = new ProcessClock(this.referenceClock, bootClock)
    this.leases = new EntryLeases({
      clock: this.process,
      watch: new SuspensionWatch(this.process),
      entryLeaseMs: ENTRY_LEASE_MS,
      verificationMs: VERIFICATION_MS,
      isOpen: () => this.isOpen,
      onUnverified: () => { this.echoRequests++ },
      onExpired: () => { this.expiries++ }
    })
    this.pass(1000)
    this.echo()
  }

  get now (): number {
    return this.process.now()
  }

  get state (): LeaseState {
    this.leases.check()
    if (this.leases.isValid(ENTRY)) return STATES.valid
    return this.leases.isUnverified(ENTRY) ? STATES.unverified : STATES.expired
  }

  pass (ms: number): void {
    this.referenceClock.advance(ms)
  }

  suspend (ms: number): void {
    this.process.suspend(ms)
    this.pass(ms)
  }

  /** The entry echoes a timestamp of the agent. */
  echo (stampMs = this.now): void {
    this.leases.renew(ENTRY, stampMs)
  }

  changeSession (isOpen: boolean): void {
    this.isOpen = isOpen
    this.leases.onSessionChange(ENTRY)
  }
}

describe('an entry lease after the agent\'s clocks have diverged', () => {
  const cases: Array<{ name: string, bootClock?: BootClock, act: (fixture: LeaseFixture) => void, state: LeaseState }> = [
    { name: 'no divergence', act: () => {}, state: STATES.valid },
    { name: 'suspension without a boot clock', act: (fixture) => fixture.suspend(300), state: STATES.unverified },
    { name: 'suspension confirmed by the boot clock', bootClock: 'counts_suspensions', act: (fixture) => fixture.suspend(300), state: STATES.expired },
    { name: 'wall clock set ahead', bootClock: 'counts_suspensions', act: ({ process }) => process.stepWallClock(60_000), state: STATES.unverified },
    { name: 'wall clock set back', act: ({ process }) => process.stepWallClock(-60_000), state: STATES.valid },
    {
      name: 'suspension without an open session',
      act: (fixture) => {
        fixture.isOpen = false
        fixture.suspend(300)
      },
      state: STATES.expired
    },
    {
      name: 'suspension, then the session closes',
      act: (fixture) => {
        fixture.suspend(300)
        fixture.changeSession(false)
      },
      state: STATES.expired
    },
    {
      name: 'suspension, then a new session opens',
      act: (fixture) => {
        fixture.suspend(300)
        fixture.changeSession(true)
      },
      state: STATES.expired
    },
    {
      name: 'suspension, echo of earlier timestamp',
      act: (fixture) => {
        fixture.pass(50)
        const stampMs = fixture.now
        fixture.suspend(300)
        fixture.echo(stampMs)
      },
      state: STATES.unverified
    },
    {
      name: 'suspension, echo of later timestamp',
      act: (fixture) => {
        fixture.suspend(300)
        fixture.echo()
        fixture.pass(10)
        fixture.echo()
      },
      state: STATES.valid
    },
    {
      name: 'second suspension before the echo',
      act: (fixture) => {
        fixture.suspend(300)
        expect(fixture.state).toBe(STATES.unverified)
        fixture.pass(10)
        const stampMs = fixture.now
        fixture.suspend(300)
        fixture.echo(stampMs)
      },
      state: STATES.unverified
    },
    {
      name: 'suspension, no echo in time',
      act: (fixture) => {
        fixture.suspend(300)
        expect(fixture.state).toBe(STATES.unverified)
        fixture.pass(VERIFICATION_MS + 5)
      },
      state: STATES.expired
    },
    {
      name: 'repeated suspensions, no echo in time',
      act: (fixture) => {
        for (let count = 0; count < 5; count++) {
          fixture.suspend(30)
          expect(fixture.state).toBe(STATES.unverified)
          fixture.pass(49)
        }
        fixture.suspend(30)
        fixture.pass(20)
      },
      state: STATES.expired
    },
    {
      name: 'suspension, late echo stops runs first',
      act: (fixture) => {
        fixture.suspend(300)
        expect(fixture.state).toBe(STATES.unverified)
        fixture.pass(VERIFICATION_MS + 5)
        const { expiries } = fixture
        fixture.echo()
        expect(fixture.expiries).toBeGreaterThan(expiries)
      },
      state: STATES.valid
    },
    {
      name: 'suspension, lease expires unverified',
      act: (fixture) => {
        fixture.pass(ENTRY_LEASE_MS - 50)
        fixture.suspend(300)
        expect(fixture.state).toBe(STATES.unverified)
        fixture.pass(60)
      },
      state: STATES.expired
    },
    {
      name: 'wall clock steps, each with an echo',
      act: (fixture) => {
        for (const ms of [5000, -5000, 5000, -5000]) {
          fixture.process.stepWallClock(ms)
          expect(fixture.state).toBe(ms > 0 ? STATES.unverified : STATES.valid)
          fixture.pass(10)
          fixture.echo()
          expect(fixture.state).toBe(STATES.valid)
        }
      },
      state: STATES.valid
    }
  ]
  it.each(cases)('$name: the lease is $state', ({ bootClock = 'unavailable', act, state }) => {
    const fixture = new LeaseFixture(bootClock)
    act(fixture)
    expect(fixture.state).toBe(state)
  })

  it('an unverified lease requests echoes once, and runs are stopped when the verification time ends', () => {
    const fixture = new LeaseFixture('unavailable')
    fixture.suspend(300)
    expect(fixture.state).toBe(STATES.unverified)
    expect(fixture.echoRequests).toBe(1)
    const { expiries } = fixture
    fixture.pass(VERIFICATION_MS + 5)
    expect(fixture.expiries).toBe(expiries + 1)
  })

  it('an echo of a timestamp from before a suspension grants no lease to an entry that had none', () => {
    const referenceClock = createFakeClock()
    const process = new ProcessClock(referenceClock)
    const leases = new EntryLeases({
      clock: process, watch: new SuspensionWatch(process), entryLeaseMs: ENTRY_LEASE_MS, verificationMs: VERIFICATION_MS, isOpen: () => true, onUnverified: () => {}, onExpired: () => {}
    })
    referenceClock.advance(1000)
    process.suspend(5000)
    referenceClock.advance(5000)
    leases.renew('new', 900)
    expect(leases.isValid('new')).toBe(false)
  })
})
